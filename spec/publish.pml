/* Publish and adopt: two operators who publish from the numbers they saw, a
 * table service that loses answers and applies writes late, instances that
 * poll the platform and one another, restart with nothing, and an outage.
 *
 * NO_... takes a guard out; the model must then fail.
 */

#define INSTANCES 2
#ifdef LIVENESS /* a smaller world: safety has covered losses and delays */
#define LOSSES 0
#define TRIES 0
#else
#define LOSSES 1
#define TRIES 1
#endif

byte number = 0;   /* the head in the table */
byte author = 0;   /* who published it */
byte past = 0;     /* who published the one before */
byte winner[4];    /* author of each number */
bool down = false;
bool outage = false; /* there has been one */
byte losses = 0;
byte force[INSTANCES];       /* number in force, 0 after a restart */
byte content[INSTANCES];     /* author of the set in force */
bool claimed[3];             /* told that it won */
bool refused[3];             /* told that it lost */
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
  :: atomic { losses < LOSSES && MATCHES(base) -> losses++; replace(who, base) } /* answer lost */
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
     assert(c == winner[n]); /* what is in force is what was published */
     force[i] = n; content[i] = c
  :: else -> skip
  fi
}

proctype Instance(byte i) {
  byte n, c;
end:
  do
  :: atomic { !down && number > force[i] -> n = number; c = author };
     /* the set itself is fetched later than the head */
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

/* With the platform up from some time on and fair scheduling, every instance
 * comes to the newest number. */
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
