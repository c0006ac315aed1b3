/* Adoption and spread of the configuration.
 *
 * Two editors race to write config/tables by conditional update; replies are lost, and a write may
 * take effect after its editor has given it up. Reads may come from a stale replica. Nodes 0 and 1
 * are in one failure domain, node 2 in another; 0 and 2 watch the store. Edit k sets bit k of the
 * table, so that table[r] tells which edits revision r contains. Revision 0 is "no configuration".
 *
 * Mutants: UNCONDITIONAL (writes ignore the version), ANY_REVISION (nodes adopt what comes),
 * NO_BASE_CHECK (a delta is applied to any base), LAST_ID (the object keeps the last operation id
 * only). */
#define NODES 3
#define TRIES 2

mtype = { OPEN, ACCEPTED, REJECTED, UNDECIDED };

byte rev = 1;          /* revision in the store */
byte table[4];         /* table of each revision; at most one more than edits, for mutants */
byte ids[4];           /* operation ids kept with each revision */
mtype told[2] = OPEN;  /* what the operator was told */
byte nrev[NODES];      /* revision and table of each node */
byte ntab[NODES];
byte restarts;          /* at most one, at any time */
bool cut = false;
chan wire = [1] of { byte, byte, byte, byte }; /* to, base, revision, bits */

/* An accepted edit is never lost, and a rejected one never takes effect. */
#define check(id) \
  assert(told[id] != ACCEPTED || (table[rev] & (1 << id))); \
  assert(told[id] != REJECTED || !(table[rev] & (1 << id)))

/* The primary applies a write if the version is the expected one. */
inline store_write(id, base, is_done) {
  is_done = false;
  if
#ifdef UNCONDITIONAL
  :: rev < 3 ->
#else
  :: base == rev && rev < 3 ->
#endif
    table[rev + 1] = table[base] | (1 << id);
#ifdef LAST_ID
    ids[rev + 1] = 1 << id;
#else
    ids[rev + 1] = ids[base] | (1 << id);
#endif
    rev++; is_done = true;
    check(0); check(1)
  :: else
  fi
}

inline store_read(seen) { if :: seen = rev :: rev > 1 -> seen = rev - 1 fi }

proctype LateWrite(byte id; byte base) {
  bool is_done;
  atomic { store_write(id, base, is_done) }
}

proctype Editor(byte id) {
  byte base, seen, try; bool is_done, is_lost;
  atomic { store_read(base) };
  do
  :: try == TRIES -> told[id] = UNDECIDED; break
  :: try < TRIES ->
    atomic {
      try++;
      if
      :: store_write(id, base, is_done);
        if
        :: is_done -> if :: told[id] = ACCEPTED; break :: is_lost = true fi
        :: !is_done && !is_lost -> told[id] = REJECTED; break
        :: !is_done && is_lost -> skip
        fi
      :: !is_lost -> is_lost = true; run LateWrite(id, base)
      fi
    };
    atomic { /* read back; a stale read decides nothing */
      store_read(seen);
      if
      :: ids[seen] & (1 << id) -> told[id] = ACCEPTED; break
      :: !(ids[seen] & (1 << id)) && seen > base -> told[id] = REJECTED; break
      :: else
      fi
    }
  od;
  atomic { base = 0; seen = 0; try = 0; is_lost = false; is_done = false; check(id) }
}

inline adopt(n, r, t) {
  if
#ifdef ANY_REVISION
  :: r > 0 ->
#else
  :: r > nrev[n] ->
#endif
    assert(r >= nrev[n]);     /* a revision never decreases on a node */
    nrev[n] = r; ntab[n] = t;
    assert(ntab[n] == table[r]) /* the same revision means the same tables */
  :: else
  fi
}

#define same_side(a, b) (!cut || ((a) == 2) == ((b) == 2))

/* Node b, which lags, pulls from node a. */
#define pulls(a, b) \
  same_side(a, b) && nrev[a] > nrev[b] -> \
    wire ! b, nrev[b], nrev[a], ntab[a] & ~table[nrev[b]]

proctype Fleet() {
  byte b, seen, base, r, bits;
  do
  :: atomic { /* a watcher reads the store */
      if :: b = 0 :: b = 2 fi;
      store_read(seen); adopt(b, seen, table[seen]); b = 0; seen = 0 }
  :: atomic { wire ? b, base, r, bits ->
      if
#ifndef NO_BASE_CHECK
      :: base != nrev[b] && base != 0
#endif
      :: base == 0 -> adopt(b, r, bits)
      :: else -> adopt(b, r, bits | ntab[b])
      fi; b = 0; bits = 0; r = 0; base = 0 }
  :: atomic { /* a peer answers a pull with the difference, or with the whole set */
      len(wire) == 0 ->
      if
      :: pulls(0, 1) :: pulls(0, 2) :: pulls(1, 0) :: pulls(1, 2) :: pulls(2, 0) :: pulls(2, 1)
      fi }
  :: atomic { /* a node restarts without memory */
      restarts < 1 -> restarts++;
      if :: b = 1 :: b = 2 fi;
      nrev[b] = 0; ntab[b] = 0; b = 0 }
  :: cut = !cut
  od
}

init { atomic {
  table[1] = 4; ids[1] = 4; /* the configuration at the start */
  run Editor(0); run Editor(1); run Fleet()
} }
