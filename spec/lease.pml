/* Model of the lease on orders. Two holders acquire it by writes on condition that
 * the version of the row is still the one that they read. The table service may
 * lose answers and apply writes late, and may come back from an older copy: rows
 * and versions go back, and the era rises. Ticks are the time; a lease is valid for
 * VALID ticks from before the read, and others wait for WAIT ticks from their first
 * read of a version of the row. Releases, fencing tokens and the table's clock are not
 * modelled.
 *
 * Each macro NO_... removes a guard; verification must then fail.
 */

#define VALID 1
#define WAIT 2
#define RESTORES 1
#define LOSSES 1
#define WRITES 3

/* the row; its writer read the row before in the era named */
byte version = 0, holder = 0, named = 0;
byte counter = 0;    /* version of the table */
byte era = 1;
/* the copy */
byte copyVersion = 0, copyHolder = 0, copyNamed = 0, copyCounter = 0;
bool copied = false;
byte losses = 0;

byte left[3];        /* ticks for which the lease of a holder is still valid */
byte age[3];         /* ticks since its call began */
byte waited[3];      /* ticks since it first read the version of the row */
byte seenVersion[3] = 255, seenEra[3];

typedef Write { bool on; byte over; byte names };
Write pending[3];

inline replace(h, e) {
  counter++;
  version = counter; holder = h; named = e
}

proctype Holder(byte who) {
  byte readVersion, readEra, answeredEra;
  bool lost, own, won;
end:
  do
  :: counter < WRITES ->
     age[who] = 0;
     atomic {
       readVersion = version; readEra = era;
       lost = (named != era); own = (holder == who);
       if
#ifdef NO_WAIT_ANEW
       :: seenVersion[who] != version ->
#else
       :: seenVersion[who] != version || seenEra[who] != era ->
#endif
          seenVersion[who] = version; seenEra[who] = era; waited[who] = 0
       :: else -> skip
       fi;
#ifdef NO_ERA_IN_ROW
       lost = false; own = own || holder == 0;
#endif
       won = false;
       if
#ifdef NO_END
       :: own || lost && left[who] > 0 || waited[who] >= WAIT -> won = true
#else
       :: !lost && own || lost && left[who] > 0 || waited[who] >= WAIT -> won = true
#endif
       :: else -> skip
       fi
     };
     if
     :: !won -> skip
     :: won ->
        won = false;
        if
        :: atomic { version == readVersion -> replace(who, readEra); answeredEra = era; won = true }
        :: atomic { version != readVersion -> skip }
        :: atomic { losses < LOSSES && version == readVersion -> losses++; replace(who, readEra) }
        :: atomic { losses < LOSSES && !pending[who].on ->
             losses++; pending[who].on = true; pending[who].over = readVersion; pending[who].names = readEra }
        fi;
        atomic {
          if
#ifdef NO_ERA_OF_ANSWER
          :: won && age[who] < VALID ->
#else
          :: won && age[who] < VALID && answeredEra == readEra ->
#endif
             left[who] = VALID - age[who];
             assert(left[3 - who] == 0)
          :: else -> skip
          fi
        }
     fi;
     d_step { readVersion = 0; readEra = 0; answeredEra = 0; won = false; lost = false; own = false; age[who] = 0 }
  od
}

active proctype Network() {
end:
  do
  :: atomic { pending[1].on ->
       if
       :: version == pending[1].over -> replace(1, pending[1].names)
       :: else -> skip
       fi;
       pending[1].on = false }
  :: atomic { pending[2].on ->
       if
       :: version == pending[2].over -> replace(2, pending[2].names)
       :: else -> skip
       fi;
       pending[2].on = false }
  :: d_step { !copied ->
       copied = true; copyVersion = version; copyHolder = holder; copyNamed = named; copyCounter = counter }
  :: d_step { copied && era <= RESTORES ->
       era++; version = copyVersion; holder = copyHolder; named = copyNamed; counter = copyCounter }
  od
}

inline pass(who) {
  if
  :: left[who] > 0 -> left[who]--
  :: else -> skip
  fi;
  if
  :: waited[who] < WAIT -> waited[who]++
  :: else -> skip
  fi;
  if
  :: age[who] < VALID -> age[who]++
  :: else -> skip
  fi
}

active proctype Clock() {
end:
  do
  :: d_step { pass(1); pass(2) }
  od
}

init {
  seenVersion[1] = 255; seenVersion[2] = 255;
  run Holder(1); run Holder(2)
}
