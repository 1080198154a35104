/* The claim protocol of package ledger. Claimants of one key, on different
   hosts, append claims to one stream. A claim names how far its host had read
   when it found the key free (seen). It is granted if every other claim between
   seen and itself is void there too: a rule over records that every reader of
   the claim's neighbourhood shares, whatever it missed before or trimmed later.
   Only a granted claim may execute, and only its own claimant may void it.
   Variants, which must fail: NO_READ_BACK, NO_DEADLINE, VOID_BY_OTHERS,
   VOID_AFTER_EXECUTE, RUN_AGAIN_WHEN_UNCERTAIN, FIRST_OF_ALL_KEPT. */

#define CLAIMANTS 3
#define MAXLOG 8

mtype = { CLAIM, VOID, OUTCOME }
typedef Record { mtype kind; byte claim; byte seen }

Record log[MAXLOG];
byte next = 0;             /* offset of the next record */
byte earliest = 0;         /* retention has removed what is below */

bool asked[CLAIMANTS];     /* its append was sent */
byte seen[CLAIMANTS];      /* how far its host had read then */
byte window[CLAIMANTS];    /* the earliest record kept then */
byte at[CLAIMANTS];        /* one more than the offset of its claim, 0 while it has not landed */
bool expired[CLAIMANTS];   /* executionStartTimeout has passed on its host's clock */
bool executed[CLAIMANTS];
bool notRun[CLAIMANTS];    /* its caller was told "not-run" */
bool hurt = false;         /* a host crashed, was paused or gave up */
byte ended = 0;

inline append(k, c) {
  if
  :: next < MAXLOG ->
       log[next].kind = k; log[next].claim = c; log[next].seen = seen[c]; next++;
       if
       :: k == CLAIM && at[c] == 0 -> at[c] = next
       :: else -> skip
       fi
  :: else -> skip
  fi
}

/* clean: every other claim in [from, o) has a void in the range that counts. */
inline range(from, o, c, clean) {
  clean = true; i = from;
  do
  :: i >= o -> break
  :: i < o && log[i].kind == CLAIM && log[i].claim != c ->
       j = from; cleared = false;
       do
       :: j >= o -> break
       :: j < o ->
            if :: log[j].kind == VOID && log[j].claim == log[i].claim -> cleared = true :: else -> skip fi;
            j++
       od;
       if :: !cleared -> clean = false :: else -> skip fi;
       i++
  :: else -> i++
  od
}

/* ClaimIndex.Lookup of a key for a reader that began at start and stands at the log's
   end: it is free if every claim it knows is void or was never granted. */
inline lookUp(start, free, done) {
  free = true; done = false; o = start;
  do
  :: o >= next -> break
  :: o < next && log[o].kind == OUTCOME -> free = false; done = true; o++
  :: o < next && log[o].kind == CLAIM ->
       cleared = false; j = start;
       do
       :: j >= next -> break
       :: j < next ->
            if :: log[j].kind == VOID && log[j].claim == log[o].claim -> cleared = true :: else -> skip fi;
            j++
       od;
       if
       :: cleared -> skip
       :: !cleared && log[o].seen < start -> free = false      /* cannot be judged: counts as granted */
       :: else ->
#ifdef FIRST_OF_ALL_KEPT
            who = log[o].claim; range(start, o, who, clean);
#else
            who = log[o].claim; low = log[o].seen; range(low, o, who, clean);
#endif
            if :: clean -> free = false :: else -> skip fi
       fi;
       o++
  :: else -> o++
  od;
  o = 0; i = 0; j = 0; who = 0; low = 0; clean = false; cleared = false
}

/* Never two executions inside the window, which for a claim begins with the
   earliest record that was kept when it was made. */
inline execute(c) {
  assert(!notRun[c]);
  i = 0;
  do
  :: i >= CLAIMANTS -> break
  :: else -> assert(i == c || !executed[i] || at[i] <= window[c]); i++
  od;
  i = 0;
  executed[c] = true
}

/* The network lands a sent claim once, late, twice or never. */
active proctype Network() {
  byte c = 0;
  byte twice = 1;
end:
  do
  :: atomic { asked[c] && at[c] == 0 -> append(CLAIM, c) }
  :: atomic { at[c] != 0 && twice > 0 -> twice--; append(CLAIM, c) }
  :: c < CLAIMANTS - 1 -> c++
  :: c > 0 -> c--
  od
}

/* Time passes for a paused claimant. Retention is far longer than a claim's
   deadline, so only what an expired claimant wrote is trimmed. */
active proctype Clock() {
  byte c = 0;
end:
  do
  :: atomic { asked[c] && !expired[c] -> expired[c] = true; hurt = true }
  :: atomic { earliest < next && expired[log[earliest].claim] -> earliest++ }
  :: c < CLAIMANTS - 1 -> c++
  od
}

proctype Claimant(byte c) {
  byte start = 0;
  byte i, j, o, who, low;
  bool free, done, clean, cleared;

  /* Partition.Claim: the host's reader began at the earliest record kept now, or long ago */
  atomic {
    if
    :: start = earliest
    :: start = 0
    fi;
    lookUp(start, free, done);
    seen[c] = next; window[c] = earliest;
    if
    :: !free -> goto prior
    :: free -> asked[c] = true
    fi
  };
  if
#ifdef NO_READ_BACK
  :: goto begin
#endif
  :: at[c] != 0 ->                     /* read back */
       atomic {
#ifdef FIRST_OF_ALL_KEPT
         low = earliest; o = at[c] - 1; range(low, o, c, clean);
#else
         low = seen[c]; o = at[c] - 1; range(low, o, c, clean);
#endif
         i = 0; j = 0; o = 0; low = 0; cleared = false;
         if
         :: clean -> clean = false
         :: !clean -> goto prior
         fi
       }
  :: atomic { hurt = true; goto giveUp }     /* claimTimeout, or the response was lost */
  :: atomic { hurt = true; goto stop }       /* the host crashed */
  fi;

begin:
  /* Executor.Execute: the deadline is checked just before */
  atomic {
    if
#ifdef NO_DEADLINE
    :: execute(c)
#else
    :: !expired[c] -> execute(c)
    :: expired[c] -> goto giveUp
#endif
    fi
  };
  if
  :: true -> atomic { append(OUTCOME, c) }
#ifdef VOID_AFTER_EXECUTE
  :: true -> atomic { append(VOID, c) }
#endif
  :: hurt = true                       /* the outcome is lost: repeats see it as uncertain */
  fi;
  goto stop;

giveUp:
  atomic { assert(!executed[c]); notRun[c] = true; append(VOID, c) };
  goto stop;

prior:
  /* another claim holds the key: done, in progress or uncertain, never run here */
#ifdef VOID_BY_OTHERS
  atomic { append(VOID, 0) };
#endif
  if
#ifdef RUN_AGAIN_WHEN_UNCERTAIN
  :: !done -> goto begin
#endif
  :: skip
  fi;

stop:
  atomic {
    ended++;
    /* Progress: when all have come to rest unhurt, the request was executed. */
    assert(ended < CLAIMANTS || hurt || executed[0] || executed[1] || executed[2])
  }
}

/* The last claimant is the caller's repeat, after the others have ended. */
init {
  atomic { run Claimant(0); run Claimant(1) };
  ended >= 2;
  run Claimant(2)
}
