/* Ownership of an upstream, eviction and a paused or dead former owner.
 *
 * Owner 1 loads, dispatches and evicts under names with its epoch. It may stop between any two
 * steps, and its orders may be under way for any time. Owner 2 takes over with a higher epoch and
 * wants to use the names of epoch 1, or the slots that they take. Name e is the adapter loaded with epoch e.
 *
 * CHECKED: the engine rejects orders of an epoch below the highest it has seen, requests
 * included. Otherwise it ignores epochs.
 *
 * Mutants: PLAIN_NAMES (names without epoch), SILENCE (a foreign name is evicted after long
 * silence of its owner), NO_DRAIN (after the death of its owner at once, although its orders may
 * be under way), RELEASE_EARLY (a handover before the engine has answered the last
 * eviction), COMPLETE_UNFENCED (a checking engine accepts requests of any epoch), FENCE_LAST
 * (the status is read before the engine has seen the new epoch). */
mtype = { LOAD, EVICT, COMPLETE, FENCE };

bool resident[3];
byte running[3];        /* requests of the name's own epoch that run on it */
byte adopted;           /* requests of owner 2 that run on name 1 */
byte fence;
bool lease = true;      /* owner 1 believes in its lease; ends at any time */
bool released = false;  /* owner 1 has handed over */
bool dead = false;      /* owner 1 has ended and this is known */
byte pins;              /* requests of owner 1 that it counts as running */
byte answers;           /* answers on the way to owner 1 */
bool is_fenced = false; /* the engine has confirmed the epoch of owner 2 */

/* Orders under way, in any order: kind, name, epoch of the sender. */
chan wire = [5] of { mtype, byte, byte };

#ifdef PLAIN_NAMES
#define name_of(e) 1
#define is_own(name, by) (by == 1)
#else
#define name_of(e) e
#define is_own(name, by) (name == by)
#endif

#ifdef CHECKED
#define accepts(by) (by >= fence)
#define raise(by) fence = by
#ifdef COMPLETE_UNFENCED
#define accepts_request(by) true
#else
#define accepts_request(by) (by >= fence)
#endif
#else
#define accepts(by) true
#define accepts_request(by) true
#define raise(by) skip
#endif

/* Takes one order of a sender; orders of different kinds or senders overtake each other. */
#define take(by) \
  :: atomic { wire ?? LOAD, name, eval(by) -> \
      if :: accepts(by) -> resident[name] = true; raise(by) :: else fi; name = 0 } \
  :: atomic { wire ?? EVICT, name, eval(by) -> \
      if \
      :: accepts(by) -> \
        assert(running[name] == 0); /* no adapter is evicted while a request runs on it */ \
        assert(name != 1 || adopted == 0); \
        resident[name] = false; raise(by) \
      :: else \
      fi; name = 0 } \
  :: atomic { wire ?? COMPLETE, name, eval(by) -> \
      if \
      :: resident[name] && accepts_request(by) && is_own(name, by) -> running[name]++ \
      :: resident[name] && accepts_request(by) && !is_own(name, by) -> adopted++ \
      :: else -> if :: by == 1 -> answers++ :: else fi \
      fi; name = 0 }

proctype Engine() {
  byte name;
  do
  take(1)
  take(2)
  :: atomic { wire ?? FENCE, name, 2 -> raise(2); is_fenced = true; name = 0 }
  :: atomic { running[1] > 0 -> running[1]--; answers++ } /* a request ends */
  :: atomic { running[2] > 0 -> running[2]-- }
  :: atomic { adopted > 0 -> adopted-- }
  od
}

proctype Former() provided (!dead) {
  byte sent;
  wire ! LOAD, name_of(1), 1;
  do
  :: atomic { answers > 0 -> answers--; pins-- }
  :: sent < 2 && lease && !released ->
    /* The owner may stop here for longer than any limit and then go on. */
    atomic { pins++; sent++ };
    wire ! COMPLETE, name_of(1), 1
  :: pins == 0 -> /* nothing runs: evict, and use the name no more */
    wire ! EVICT, name_of(1), 1;
#ifndef RELEASE_EARLY
    /* A handover follows only once the engine has answered all orders. */
    !(wire ?? [EVICT, name_of(1), 1]);
#endif
    if :: released = true :: skip fi;
    break
  :: atomic { pins == 0 -> released = true; break }
  od
}

/* Ends owner 1 between any two of its steps; its orders may still be under way. */
proctype Death() { dead = true }

proctype Lapse() { lease = false }

/* Orders of owner 1 that have not arrived. */
#define is_drained (!(wire ?? [LOAD, 1, 1]) && !(wire ?? [COMPLETE, 1, 1]) && !(wire ?? [EVICT, 1, 1]))

proctype Present() {
  bool is_idle;
  !lease;
  wire ! LOAD, name_of(2), 2;
  wire ! COMPLETE, name_of(2), 2;
#ifdef CHECKED
#ifndef FENCE_LAST
  wire ! FENCE, 0, 2;
  is_fenced;
#endif
#else
  /* Engines that ignore epochs: the former owner must have ended its orders. */
  if
  :: released
#ifdef NO_DRAIN
  :: dead
#else
  :: atomic { dead && is_drained }
#endif
#ifdef SILENCE
  :: true
#endif
  fi;
#endif
#ifndef PLAIN_NAMES
  if
  :: wire ! COMPLETE, name_of(1), 2 /* the adapter is used under the name of epoch 1 */
  :: do
    :: is_idle = (running[1] == 0); /* the engine's status */
      if
      :: is_idle -> wire ! EVICT, name_of(1), 2; break
      :: else
      fi
    od
  fi
#endif
}

init { atomic { run Engine(); run Former(); run Present(); run Death(); run Lapse() } }
