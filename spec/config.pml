/* Acceptance of configuration by package register: every reader applies the same
   stream; a change is accepted if its base is not older than the entry's
   revision. Two operators race on one entry; a reader may restart, read late,
   and meet a stream whose beginning was trimmed.
   Variants, which must fail: NO_BASE_CHECK, FOLD_OVER_GAP, INSTALL_BACKWARDS,
   COUNT_TWICE. */

#define MAXLOG 5
#define READERS 2

mtype = { CHANGE, CHECKPOINT }
typedef Record { mtype kind; byte id; byte base; byte through; byte revision; byte decided }
Record log[MAXLOG];
byte next = 0;
byte earliest = 0;

/* decided[o]: verdict that the first reader reached on offset o; 0 unknown, 1 refused, 2 accepted */
byte decided[MAXLOG];
byte told[2];             /* by change identity */

byte revision[READERS];   /* in force */
byte position[READERS];
bool whole[READERS];
byte gap[READERS];        /* where what was read of a trimmed stream begins */
byte restarts = 1;
byte peers = 1;
byte seen[READERS];       /* bit set of change identities already decided */

inline decide(o, verdict) {
  if
  :: decided[o] == 0 -> decided[o] = verdict
  :: else -> assert(decided[o] == verdict)
  fi;
  /* An operator who asks again hears the same of the same change. */
  if
  :: told[log[o].id] == 0 -> told[log[o].id] = verdict
  :: else -> assert(told[log[o].id] == verdict)
  fi
}

/* No update is lost: an accepted change was made from a revision that holds
   every change accepted before it. */
inline noneLost(o) {
  k = 0;
  do
  :: k >= o -> break
  :: k < o -> assert(decided[k] != 2 || log[o].base > k); k++
  od;
  k = 0
}

inline foldOne(r) {
  o = position[r];
  position[r]++;
  if
  :: log[o].kind == CHECKPOINT ->
       if
       :: !whole[r] && log[o].through >= gap[r] -> assert(log[o].revision >= revision[r]);
            revision[r] = log[o].revision; seen[r] = log[o].decided; whole[r] = true;
            /* what was read between the checkpoint's end and here was kept pending */
            position[r] = log[o].through
       :: else -> skip
       fi
  :: log[o].kind == CHANGE && whole[r] ->
       if
#ifndef COUNT_TWICE
       :: (seen[r] >> log[o].id) & 1 -> skip
#endif
#ifdef NO_BASE_CHECK
       :: else -> revision[r] = o + 1; decide(o, 2); noneLost(o); seen[r] = seen[r] | (1 << log[o].id)
#else
       :: else ->
            if
            :: log[o].base >= revision[r] -> decide(o, 2); noneLost(o);
                 assert(o + 1 > revision[r]); revision[r] = o + 1
            :: else -> decide(o, 1)
            fi;
            seen[r] = seen[r] | (1 << log[o].id)
#endif
       fi
  :: else -> skip
  fi
}

proctype Reader(byte r) {
  byte o, k;
  byte was;
end:
  do
  :: atomic { position[r] < next && position[r] >= earliest -> was = revision[r]; foldOne(r); assert(revision[r] >= was) }
  :: atomic { position[r] < earliest ->
       position[r] = earliest;
#ifndef FOLD_OVER_GAP
       whole[r] = false; gap[r] = earliest
#endif
     }
  :: atomic { r == 1 && position[r] > 0 && restarts > 0 ->    /* restart: everything is forgotten */
       restarts--; revision[r] = 0; position[r] = 0; seen[r] = 0; whole[r] = true; gap[r] = 0 }
  :: atomic { whole[1 - r] && peers > 0 && (!whole[r] || position[1 - r] > position[r]) && position[1 - r] >= gap[r] ->
       peers--;                                               /* Replica.Install of a peer's state */
       was = revision[r];
       /* what was kept pending beyond the peer's place is read again */
       revision[r] = revision[1 - r]; seen[r] = seen[1 - r]; whole[r] = true; position[r] = position[1 - r];
       assert(revision[r] >= was) }
#ifdef INSTALL_BACKWARDS
  :: atomic { whole[1 - r] && peers > 0 -> peers--; was = revision[r]; revision[r] = revision[1 - r]; position[r] = position[1 - r]; assert(revision[r] >= was) }
#endif
  od
}

proctype Operator(byte id) {
  byte base;
  atomic { base = revision[id] };                   /* read from one reader */
  atomic { next < MAXLOG -> log[next].kind = CHANGE; log[next].id = id; log[next].base = base; next++ };
  if                                                /* the response was lost: append the same change again */
  :: atomic { next < MAXLOG -> log[next].kind = CHANGE; log[next].id = id; log[next].base = base; next++ }
  :: skip
  fi
}

proctype Checkpointer() {
  byte n = 2;
end:
  do
  :: atomic { n > 0 && whole[0] && next < MAXLOG && position[0] > 0 ->
       n--; log[next].kind = CHECKPOINT; log[next].through = position[0]; log[next].revision = revision[0]; log[next].decided = seen[0]; next++ }
  :: atomic { earliest < next && earliest < MAXLOG - 1 -> earliest++ }    /* retention */
  od
}

init {
  atomic { whole[0] = true; whole[1] = true;
    run Reader(0); run Reader(1); run Operator(0); run Operator(1); run Checkpointer() }
}
