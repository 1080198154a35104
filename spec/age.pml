/* How old what a follower knows may be (packages membership and fleet): a reader
   reads the store, a follower asks the reader, and a request with a key that was
   revoked is served by the follower for no longer than REVOKE, however long calls
   and answers take and whoever is paused in between. Ages are counted from when the
   last answered call was sent; the reader reports its own.
   What is asserted of a follower, that it knows all that was written before the moment
   up to which it says it has heard, is all that is used of a reader; so it holds of
   followers of followers too, down the tree.
   Variants, which must fail: COUNT_FROM_ARRIVAL, FORGET_READERS_AGE,
   READER_COUNTS_FROM_ARRIVAL. */

#define LAST 6
#define REVOKE 2

byte now = 0;
bool revoked = false;
byte revoked_at = 0;

/* What a process knows: whether the key is revoked, and up to when (heard). */
typedef Known { bool gone; byte heard }
Known reader, follower;

/* A call: sent at, answered with what at some moment in between, not yet taken in. */
typedef Call { bool open; bool arrived; bool answered; byte sent; byte at; byte waited; bool gone; byte behind }
Call read, ask;

inline take(known, gone_, heard_) {
  /* What was known stays known; what is older than that changes nothing. */
  known.gone = known.gone || gone_;
  if :: heard_ > known.heard -> known.heard = heard_ :: else fi
}

active proctype world() {
  byte heard;
  do
  :: atomic { now < LAST -> now++ }
  :: atomic { !revoked -> revoked = true; revoked_at = now }
  /* The reader reads the store. */
  :: atomic { !read.open -> read.open = true; read.answered = false; read.sent = now }
  :: atomic { read.open && !read.answered -> read.answered = true; read.gone = revoked }
  :: atomic { read.open && read.answered -> read.open = false;
#ifdef READER_COUNTS_FROM_ARRIVAL
       heard = now;
#else
       heard = read.sent;
#endif
       take(reader, read.gone, heard) }
  /* The follower asks the reader, or gives the call up. */
  :: atomic { !ask.open -> ask.open = true; ask.arrived = false; ask.answered = false; ask.sent = now }
  /* The reader may hold the call until there is a change, and reports for how long. */
  :: atomic { ask.open && !ask.arrived -> ask.arrived = true; ask.at = now }
  :: atomic { ask.open && ask.arrived && !ask.answered -> ask.answered = true;
       ask.waited = now - ask.at; ask.gone = reader.gone; ask.behind = now - reader.heard }
  :: atomic { ask.open -> ask.open = false }
  :: atomic { ask.open && ask.answered -> ask.open = false;
#ifdef COUNT_FROM_ARRIVAL
       heard = now - ask.behind;
#else
       heard = (ask.sent + ask.waited > ask.behind -> ask.sent + ask.waited - ask.behind : 0);
#endif
#ifdef FORGET_READERS_AGE
       heard = ask.sent;
#endif
       take(follower, ask.gone, heard) }
  /* What a host says that it has heard, it knows. */
  :: atomic { revoked && revoked_at < follower.heard -> assert(follower.gone) }
  /* A request with the key comes to the follower. */
  :: atomic { !follower.gone && now - follower.heard <= REVOKE ->
       assert(!revoked || now - revoked_at <= REVOKE) }
  :: now == LAST -> break
  od
}
