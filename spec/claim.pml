/* At-most-once claims.
 *
 * CALLS requests with the same key arrive at entries. The claim is an object with a version, a
 * state and the attempt that holds it. A write may lose its reply, fail, or take effect after its
 * sender has given it up; a read may fail; any call may stop for good or for a while at any step.
 *
 * Mutants: TAKEOVER (a pending claim of a silent holder passes to the next call), DISPATCH_FIRST
 * (the dispatch precedes the claim), LATE_DISPATCH (a refused call dispatches once it finds its
 * claim), TRUST_LOST (a lost reply counts as written), UNCONDITIONAL (writes ignore the version). */
#ifndef CALLS
#define CALLS 3
#endif
#define TRIES 2

mtype = { FREE, PENDING, FINISHED, NOT_RUN };

byte version;
mtype state = FREE;
byte holder;            /* attempt that the claim belongs to; 0: none */
byte dispatches;
bit told_not_run[CALLS + 1];
bit dispatched[CALLS + 1];

/* Sets state and holder if the version is the expected one. */
inline put(new_state, attempt, expected, is_done) {
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: version == expected ->
#endif
    state = new_state; holder = attempt; version++; is_done = true
  :: version != expected -> is_done = false
  fi
}

proctype LateWrite(byte attempt; byte expected) {
  bool is_done;
  atomic { put(PENDING, attempt, expected, is_done) }
}

/* Dispatch: the bytes of the request reach the upstream. */
inline dispatch(a) {
  atomic {
    dispatched[a] = 1; dispatches++;
    assert(dispatches <= 1);       /* at most one dispatch per key */
    assert(!told_not_run[a])       /* "not run" means no dispatch ever */
  }
}

proctype Call(byte a) {
  byte seen, try; mtype found; byte owner; bool is_done, is_maybe;
#ifdef DISPATCH_FIRST
  dispatch(a);
#endif
claim:
  do
  :: try == TRIES -> goto refused
  :: try < TRIES ->
    try++;
    atomic {
      if
      :: seen = version; found = state; owner = holder
      :: goto claim                   /* the read fails */
      fi;
      if
      :: found == FINISHED -> goto end /* the stored answer */
      :: found == PENDING && owner == a && is_maybe -> goto granted
#ifdef TAKEOVER
      :: found == PENDING && owner != a -> skip
#else
      :: found == PENDING && owner != a -> goto end /* in progress or unknown */
#endif
      :: found == FREE || found == NOT_RUN -> skip
      fi
    };
    if
    :: atomic { put(PENDING, a, seen, is_done);
        if
        :: is_done -> goto granted
        :: is_done -> is_maybe = true /* the reply is lost */
        :: !is_done -> skip         /* conflict */
        fi }
    :: is_maybe = true              /* fails without effect */
    :: atomic { !is_maybe -> is_maybe = true; run LateWrite(a, seen) }
    fi;
#ifdef TRUST_LOST
    if :: is_maybe -> goto granted :: else fi
#endif
  od;

granted:
  if
  :: dispatch(a);
    /* The answer is recorded; only the holder changes a pending claim. */
    atomic { seen = version; found = state; owner = holder };
    atomic { put(FINISHED, a, seen, is_done) };
    goto end
  :: goto withdraw                  /* abandoned before any byte was written */
  :: goto end                       /* the holder is lost */
  fi;

refused:
  told_not_run[a] = 1;
#ifdef LATE_DISPATCH
  if
  :: state == PENDING && holder == a -> dispatch(a); goto end
  :: else
  fi;
#endif
  if :: is_maybe -> skip :: else -> goto end fi;

withdraw: /* marks the own claim as not run; without one, fences off the late write */
  atomic { seen = version; found = state; owner = holder };
  atomic {
    if
    :: found == PENDING && owner == a -> put(NOT_RUN, a, seen, is_done)
    :: else -> put(found, owner, seen, is_done)
    fi
  };
  if
  :: !is_done -> goto withdraw
  :: is_done
  :: goto end                       /* the mark is lost with its instance */
  fi;

end:
  atomic { seen = 0; try = 0; found = 0; owner = 0; is_done = false; is_maybe = false }
}

init { atomic {
  byte a = 1;
  do :: a <= CALLS -> run Call(a); a++ :: else -> break od
} }
