/* Model of publishing and adopting configuration sets. Two operators publish on
 * condition that the number they read is still current. The table service may
 * lose answers and apply writes late, and has one outage. Instances poll the
 * platform and each other, and lose their state when they restart.
 *
 * Each macro NO_... removes a guard; verification must then fail.
 */

#define INSTANCES 2
#ifdef LIVENESS /* smaller model: the safety run covers lost answers and delays */
#define LOSSES 0
#define TRIES 0
#else
#define LOSSES 1
#define TRIES 1
#endif

byte number = 0;   /* number of the newest set, from the head row of the table */
byte author = 0;   /* operator that published it */
byte past = 0;     /* operator that published the set before it */
byte winner[4];    /* operator that published each number */
bool down = false;
bool outage = false; /* an outage has happened */
byte losses = 0;
byte force[INSTANCES];       /* number in force, 0 after a restart */
byte content[INSTANCES];     /* operator that published the set in force */
bool claimed[3];             /* the operator got the answer that its set was published */
bool refused[3];             /* the operator got the answer that its set was rejected */
bool unknown[3];
bool restarted[INSTANCES];

typedef Write { bool on; byte over };
Write pending[3];

#ifdef NO_CONDITION
#define MATCHES(b) true
#else
#define MATCHES(b) (number == (b))
#endif

inline replace(who, base) {
  number = base + 1;
  past = author; author = who;
  assert(winner[number] == 0 || winner[number] == who);
  winner[number] = who
}

proctype Operator(byte who) {
  byte base, tries = 0;
  bool won = false, lost = false;
  base = number;
  do
  :: atomic { !down && MATCHES(base) -> replace(who, base); won = true }
  :: atomic { !down && !MATCHES(base) ->
       if
#ifdef NO_READBACK
       :: false -> skip
#else
       :: author == who || past == who -> won = true
#endif
       :: else -> lost = true
       fi }
  :: atomic { losses < LOSSES && MATCHES(base) -> losses++; replace(who, base) } /* written, but the answer is lost */
  :: atomic { losses < LOSSES && !pending[who].on -> losses++; pending[who].on = true; pending[who].over = base }
  :: tries == TRIES -> unknown[who] = true; break
  :: tries < TRIES -> tries++
  :: won -> claimed[who] = true; break
  :: lost -> refused[who] = true; break
  od;
  skip;
  d_step {
    assert(!claimed[who] || winner[base + 1] == who);
    assert(!refused[who] || winner[base + 1] != who)
  }
}

inline adopt(i, n, c) {
#ifdef NO_MONOTONE
  if
  :: n > 0 ->
#else
  if
  :: n > force[i] ->
#endif
     assert(n >= force[i]);
     assert(c == winner[n]); /* the set in force is the published one */
     force[i] = n; content[i] = c
  :: else -> skip
  fi
}

proctype Instance(byte i) {
  byte n, c;
end:
  do
  :: atomic { !down && number > force[i] -> n = number; c = author };
     /* the set is fetched after the head, in a separate step */
     atomic { adopt(i, n, c) }
  :: atomic { force[1 - i] > force[i] -> n = force[1 - i]; c = content[1 - i] };
     atomic { adopt(i, n, c) }
  :: atomic { !restarted[i] && force[i] > 0 -> restarted[i] = true; force[i] = 0; content[i] = 0 }
#ifdef NO_MONOTONE
  :: atomic { force[1 - i] > 0 -> n = force[1 - i]; c = content[1 - i] };
     atomic { adopt(i, n, c) }
#endif
  od
}

active proctype Network() {
end:
  do
  :: atomic { pending[1].on && !down ->
       if
       :: MATCHES(pending[1].over) -> replace(1, pending[1].over)
       :: else -> skip
       fi;
       pending[1].on = false }
  :: atomic { pending[2].on && !down ->
       if
       :: MATCHES(pending[2].over) -> replace(2, pending[2].over)
       :: else -> skip
       fi;
       pending[2].on = false }
  :: atomic { !down && !outage -> down = true; outage = true }
  :: down -> down = false
  od
}

/* If the platform stays up from some time on and scheduling is fair, every
 * instance eventually adopts the newest number and keeps it. */
#ifdef LIVENESS
ltl everywhere { (<>[] !down) -> <>[] (force[0] == number && force[1] == number) }
#endif

init {
  atomic {
    run Operator(1);
    run Operator(2);
    run Instance(0);
    run Instance(1)
  }
}
