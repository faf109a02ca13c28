/* The once-only claim: one key, requests that may be resends of one another
 * at any instance, a table service that loses answers and applies writes late,
 * endpoints that refuse, run, or run and lose the answer, handlers that crash
 * or pause anywhere, and a record that expires.
 *
 * Each handler is one request with a token of its own. A crash of its
 * instance makes its owner unknown to the others.
 *
 * Compiling with one of the NO_... names takes a guard out; the model must
 * then fail. WITNESS_... turns a wished-for outcome into a failure.
 */

#ifndef HANDLERS
#define HANDLERS 3
#endif
#define LOSSES 2 /* answers of the table that may be lost in all */

mtype = { ABSENT, OPEN, DONE, VOID };                    /* the row */
mtype = { RUNNING, FINISHED, ABANDONED, DOUBTFUL, UNKNOWN }; /* the owner's word */
mtype = { PENDING, ANSWER, NOTRUN, MAYHAVE, RAN };       /* told to the caller */

mtype row = ABSENT;
byte version = 0;
byte holder = 0;  /* token in the row */
byte answer = 0;  /* token whose run made the answer in the row */

mtype standing[HANDLERS + 1] = RUNNING;
mtype told[HANDLERS + 1] = PENDING;
byte ran[HANDLERS + 1];     /* runs by token */
byte runs = 0;              /* runs in the life of the record */
byte runner = 0;            /* token of the last run */
bool voided = false;
bool late = false;          /* the time to send has passed */
bool expired = false;       /* the record has ended once */
byte losses = 0;

/* A write under way whose answer was given up. */
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

/* apply tries the write of state over version v; it sets won, lost or unsure. */
inline apply(token, v, state) {
  won = false; lost = false; unsure = false;
  if
  :: atomic { MATCHES(v) -> put(token, state); won = true }
  :: atomic { !MATCHES(v) ->
       if
       :: row == state && holder == token -> won = true /* written by an earlier try */
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
     :: unsure && tries == 0 -> tries++ /* the same write again */
     :: unsure -> /* given up; the write may land yet */
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
  /* A crash here leaves the row open and nothing sent. */
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
  :: atomic { /* the check and the send; endpoints refuse what starts late */
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
     apply(token, v + 1, DONE); /* once more if unsure, else by later saves */
     if
     :: unsure -> apply(token, v + 1, DONE)
     :: else -> skip
     fi
  :: standing[token] = UNKNOWN; tell(token, MAYHAVE) /* crashed after the run */
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
     :: seenHolder == token -> /* its own write landed late: it has won */
        v = seenVersion - 1; goto send
     :: else -> skip
     fi;
     if
     :: standing[seenHolder] == FINISHED -> assert(expired || ran[seenHolder] == 1); tell(token, ANSWER); goto end
     :: standing[seenHolder] == DOUBTFUL -> tell(token, MAYHAVE); goto end
     :: standing[seenHolder] == UNKNOWN ->
        /* The owner has forgotten: either it crashed, or the row has changed. */
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
          /* The owner makes it void when asked. */
          if
          :: row == OPEN && holder == seenHolder && version == seenVersion ->
             row = VOID; version++; voided = true
          :: else -> skip
          fi }
     :: standing[seenHolder] == RUNNING ->
        if
        :: (standing[seenHolder] != RUNNING || row != OPEN || holder != seenHolder) -> skip
        :: tell(token, MAYHAVE); goto end /* the caller's patience ends */
        fi
     :: tell(token, MAYHAVE); goto end /* the caller's patience ends */
     fi
  od;
end:
  skip
}

/* Network lands late writes, lets time pass and ends the record. */
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
       /* All that was under way when time ran out has landed or is lost. */
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
never { /* a voided key runs again */
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
