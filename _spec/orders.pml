/*
 * Counts of orders between DAEMONS holders that follow one another and one engine
 * that ignores tokens and has room for one of two models.
 *
 * An order names the number of orders that the engine must have accepted. It may
 * be lost, its answer may be lost, and the engine may put it aside and carry it
 * out later, when the count is looked at again. Reports may show the state before
 * the last change. A holder looks at its lease right before it sends.
 *
 * WAIT 1: a successor claims only when what a former holder sent has arrived, or
 * never will: its lease outlasts an order that is sent under it, and a release
 * waits for orders on their way. Then no order comes under an older token.
 * FREEZE 1: a holder may stand still between its look at the lease and the first
 * byte, for longer than its lease. Then only the room is promised.
 * COUNTS 0 leaves out the count: the sabotage of the room.
 */
#ifndef WAIT
#define WAIT 1
#endif
#ifndef FREEZE
#define FREEZE 0
#endif
#ifndef COUNTS
#define COUNTS 1
#endif
#define DAEMONS 2
#define MAXTOKEN 2
#define MAXORDERS 3
#define NONE 255
#define LOAD 0
#define UNLOAD 1

byte token = 0;
byte holder = NONE;
byte newest = 0;              /* newest token that has come to the engine */

/* The engine, now and before its last change. */
byte count = 0;
byte loaded[2];
byte countBefore = 0;
byte loadedBefore[2];
#define total (loaded[0] + loaded[1])

/* Orders that were looked at and not sent, and orders on their way. */
bool checked[DAEMONS];
bool sent[DAEMONS];
byte kind[DAEMONS];
byte model[DAEMONS];
byte at[DAEMONS];             /* the count that the order names */
byte under[DAEMONS];
byte answer[DAEMONS];         /* 0 none, 1 accepted, 2 refused */

/* One order that the engine has put aside. */
bool aside = false;
byte asideKind;
byte asideModel;
byte asideAt;

inline carryOut(k, m, c, ok) {
  ok = 0;
  if
  :: (!COUNTS || c == count) && count < MAXORDERS ->
     countBefore = count; loadedBefore[0] = loaded[0]; loadedBefore[1] = loaded[1];
     count++;
     loaded[m] = (k == LOAD -> 1 : 0);
     ok = 1;
     assert(total <= 1)
  :: else -> skip
  fi
}

proctype Network() {
  byte ok;
  byte d;
  end: do
  :: atomic {
       if
       :: sent[0] -> d = 0
       :: sent[1] -> d = 1
       fi;
       sent[d] = false;
       /* It arrives, or is lost. */
       if
       :: true ->
          assert(FREEZE || under[d] >= newest);
          if
          :: under[d] > newest -> newest = under[d]
          :: else -> skip
          fi;
          if
          :: carryOut(kind[d], model[d], at[d], ok);
             if
             :: answer[d] = 2 - ok
             :: answer[d] = 0
             fi
          :: !aside -> aside = true; asideKind = kind[d]; asideModel = model[d]; asideAt = at[d]; answer[d] = 0
          fi
       :: true -> answer[d] = 0
       fi;
       ok = 0; d = 0
     }
  :: atomic { aside -> aside = false; carryOut(asideKind, asideModel, asideAt, ok); ok = 0 }
  :: atomic { aside -> aside = false }
  od
}

#define nothingOnTheWay ((FREEZE || !(checked[0] || checked[1])) && !(sent[0] || sent[1]))

proctype Daemon(byte me) {
  byte mine;
  byte knownCount;
  byte known[2];
  byte k, m;

  end: do
  :: atomic { token < MAXTOKEN && (!WAIT || nothingOnTheWay) -> token++; holder = me; mine = token };
     read:
     /* The report of the engine, which may be one change old. */
     atomic {
       if
       :: knownCount = count; known[0] = loaded[0]; known[1] = loaded[1]
       :: knownCount = countBefore; known[0] = loadedBefore[0]; known[1] = loadedBefore[1]
       fi
     };
     /* The decision: a model into free room, or room made. */
     atomic {
       if
       :: known[0] + known[1] == 0 -> k = LOAD; m = 0
       :: known[0] + known[1] == 0 -> k = LOAD; m = 1
       :: known[0] -> k = UNLOAD; m = 0
       :: known[1] -> k = UNLOAD; m = 1
       fi
     };
     send:
     /* The look at the lease, and the first byte. */
     atomic {
       if
       :: holder == me && token == mine -> checked[me] = true; kind[me] = k; model[me] = m; at[me] = knownCount; under[me] = mine; answer[me] = 0
       :: else -> goto lost
       fi
     };
     atomic { checked[me] = false; sent[me] = true };
     atomic { !sent[me] -> skip };
     if
     :: answer[me] == 1 ->
        atomic {
          knownCount++;
          known[m] = (k == LOAD -> 1 : 0);
          if
          :: known[0] + known[1] == 0 -> k = LOAD; m = 1 - m
          :: known[0] + known[1] > 0 -> k = UNLOAD
          fi
        };
        if
        :: goto send
        :: goto read
        :: goto lost
        fi
     :: answer[me] == 0 ->
        /* The same order again under the same count, or the report. */
        if
        :: goto send
        :: goto read
        :: goto lost
        fi
     :: answer[me] == 2 -> goto read
     fi;
     lost: skip
  od
}

init {
  atomic {
    run Network();
    run Daemon(0);
    run Daemon(1)
  }
}
