/* Model of the claim that makes a request with an idempotency key run at most
 * once. It has a single key and several requests, which may be retries of one
 * another and arrive at any instance. The table service may lose answers and
 * apply writes late. Endpoints may refuse a request, run it, or run it and lose
 * the answer. Handlers may crash or pause at any point. The record may expire.
 *
 * Each handler is one request and has a unique token. After a crash of its
 * instance, the other instances get the answer UNKNOWN about its claim.
 *
 * Each macro NO_... removes a guard; verification must then fail.
 * WITNESS_... shows that a desired outcome is reachable by reporting it as an
 * error.
 */

#ifndef HANDLERS
#define HANDLERS 3
#endif
#define LOSSES 2 /* maximum number of lost answers of the table service */

mtype = { ABSENT, OPEN, DONE, VOID };                    /* state of the row */
mtype = { RUNNING, FINISHED, ABANDONED, DOUBTFUL, UNKNOWN }; /* state that the owner reports */
mtype = { PENDING, ANSWER, NOTRUN, MAYHAVE, RAN };       /* outcome sent to the caller */

mtype row = ABSENT;
byte version = 0;
byte holder = 0;  /* token of the owner in the row */
byte answer = 0;  /* token of the run that produced the answer in the row */

mtype standing[HANDLERS + 1] = RUNNING;
mtype told[HANDLERS + 1] = PENDING;
byte ran[HANDLERS + 1];     /* number of runs of each token */
byte runs = 0;              /* number of runs since the record was created */
byte runner = 0;            /* token of the last run */
bool voided = false;
bool late = false;          /* the deadline for sending has passed */
bool expired = false;       /* the record has expired once */
byte losses = 0;

/* A write that may still be applied after its handler stopped waiting for the
 * answer: over is the expected version, becomes the new state. */
typedef Write { bool on; byte over; mtype becomes };
Write pending[HANDLERS + 1];

#ifdef NO_CONDITION
#define MATCHES(v) true
#else
#define MATCHES(v) (version == (v))
#endif

inline put(token, state) {
  row = state;
  holder = token;
  version++;
  if
  :: state == DONE -> answer = token
  :: else -> skip
  fi
}

inline tell(token, what) {
  d_step {
    assert(!(what == NOTRUN && ran[token] > 0));
    told[token] = what
  }
}

/* apply writes state on condition that the row has version v. It sets won if the
 * write was applied, lost if the condition failed, unsure if the answer was lost. */
inline apply(token, v, state) {
  won = false; lost = false; unsure = false;
  if
  :: atomic { MATCHES(v) -> put(token, state); won = true }
  :: atomic { !MATCHES(v) ->
       if
       :: row == state && holder == token -> won = true /* written by an earlier attempt */
       :: else -> lost = true
       fi }
  :: atomic { losses < LOSSES && MATCHES(v) -> losses++; put(token, state); unsure = true }
  :: atomic { losses < LOSSES && !pending[token].on -> losses++;
       pending[token].on = true; pending[token].over = v; pending[token].becomes = state;
       unsure = true }
  fi
}

inline perform(token) {
  atomic {
    assert(told[token] != NOTRUN);
    ran[token]++; runs++; runner = token;
    assert(runs <= 1)
  }
}

proctype Handler(byte token) {
  byte v = 0;
  bool won, lost, unsure;
  mtype seen;
  byte seenHolder, seenVersion, seenAnswer, tries;

claim:
  tries = 0;
  do
  :: apply(token, v, OPEN);
     if
     :: won -> goto send
     :: lost -> goto other
#ifdef NO_READBACK
     :: unsure -> goto send
#else
     :: unsure && tries == 0 -> tries++ /* repeat the same write */
     :: unsure -> /* give up; the write may still be applied */
        standing[token] = ABANDONED;
        tell(token, NOTRUN);
#ifdef NO_GIVE_UP
        if
        :: row == OPEN && holder == token -> goto send
        :: goto end
        fi
#else
        goto end
#endif
#endif
     fi
  od;

send:
  /* A crash here leaves the row OPEN although no request was sent. */
  if
  :: standing[token] = UNKNOWN; tell(token, MAYHAVE); goto end
  :: skip
  fi;
  if
#ifdef NO_LEASE
  :: false -> skip
#else
  :: atomic { late -> standing[token] = ABANDONED }; tell(token, NOTRUN); goto void
#endif
  :: atomic { /* Check and send are one step, since endpoints refuse a request that
                 starts after its deadline. */
#ifndef NO_LEASE
       !late ->
#endif
       skip;
       if
       :: standing[token] = ABANDONED; goto refused
       :: perform(token)
       fi }
  fi;
  if
  :: standing[token] = FINISHED; assert(runner == token); tell(token, ANSWER);
     apply(token, v + 1, DONE); /* repeated once if unsure, then left to later saves */
     if
     :: unsure -> apply(token, v + 1, DONE)
     :: else -> skip
     fi
  :: standing[token] = UNKNOWN; tell(token, MAYHAVE) /* crash after the run */
  :: standing[token] = DOUBTFUL;
#ifdef NO_DOUBT
     tell(token, NOTRUN)
#else
     tell(token, MAYHAVE)
#endif
#ifdef NO_SINGLE_SEND
     ; perform(token)
#endif
#ifdef NO_VOID_PROOF
     ; goto void
#endif
  fi;
  goto end;

refused:
  tell(token, NOTRUN);
void:
  apply(token, v + 1, VOID);
  if
  :: won -> voided = true
  :: else -> skip
  fi;
  goto end;

other:
  do
  :: atomic { seen = row; seenHolder = holder; seenVersion = version; seenAnswer = answer };
     if
     :: seen == DONE ->
        d_step { assert(expired || ran[seenAnswer] == 1) };
        tell(token, ANSWER); goto end
     :: seen == VOID || seen == ABSENT -> v = seenVersion; goto claim
     :: else -> skip
     fi;
     if
     :: seenHolder == token -> /* its own write was applied late, so it owns the row */
        v = seenVersion - 1; goto send
     :: else -> skip
     fi;
     if
     :: standing[seenHolder] == FINISHED -> assert(expired || ran[seenHolder] == 1); tell(token, ANSWER); goto end
     :: standing[seenHolder] == DOUBTFUL -> tell(token, MAYHAVE); goto end
     :: standing[seenHolder] == UNKNOWN ->
        /* The owner has no state of the claim: it crashed, or the row has changed. */
        if
        :: atomic { row == OPEN && holder == seenHolder ->
#ifdef NO_TAKEOVER_BAN
             v = version } ; put(token, VOID); v = version; goto claim
#else
             skip }; tell(token, MAYHAVE); goto end
#endif
        :: else -> skip
        fi
     :: atomic { standing[seenHolder] == ABANDONED ->
          /* The owner sets the row to VOID when another instance queries it. */
          if
          :: row == OPEN && holder == seenHolder && version == seenVersion ->
             row = VOID; version++; voided = true
          :: else -> skip
          fi }
     :: standing[seenHolder] == RUNNING ->
        if
        :: (standing[seenHolder] != RUNNING || row != OPEN || holder != seenHolder) -> skip
        :: tell(token, MAYHAVE); goto end /* the caller's deadline expires */
        fi
     :: tell(token, MAYHAVE); goto end /* the caller's deadline expires */
     fi
  od;
end:
  skip
}

/* Network applies delayed writes, lets the deadline for sending pass and expires
 * the record. */
active proctype Network() {
  byte i;
end:
  do
  :: atomic { pending[1].on -> i = 1; goto land }
  :: atomic { HANDLERS >= 2 && pending[2].on -> i = 2; goto land }
#if HANDLERS >= 3
  :: atomic { pending[3].on -> i = 3; goto land }
#endif
  :: !late -> late = true
  :: atomic { late && !expired && row != ABSENT ->
       /* Writes that were pending at the deadline have been applied or lost
          by now. */
       row = ABSENT; version = 0; holder = 0; expired = true; runs = 0;
       pending[1].on = false; pending[2].on = false;
#if HANDLERS >= 3
       pending[3].on = false
#endif
     }
  od;
land:
  atomic {
    if
    :: MATCHES(pending[i].over) -> put(i, pending[i].becomes)
    :: else -> skip
    fi;
    pending[i].on = false; i = 0; goto end
  }
}

#ifdef WITNESS_VOID_RUNS
never { /* a key runs after it was voided */
  do
  :: voided && runs == 1 -> break
  :: else
  od
}
#endif

init {
  atomic {
    run Handler(1);
    run Handler(2);
#if HANDLERS >= 3
    run Handler(3)
#endif
  }
}
