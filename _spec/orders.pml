/*
 * Order counts between DAEMONS daemons, which hold the lease one after another, and one engine that
 * ignores tokens and has memory for one of two models.
 *
 * An order names the number of orders that the engine must have accepted before it. The order or
 * its answer may be lost. The engine may also defer the order and carry it out later, when it
 * checks the count again. Reports may show the state before the last change. A holder checks its
 * lease right before it sends an order.
 *
 * WAIT 1: a daemon claims the lease only when each order of a former holder has arrived or never
 * will, because a lease outlasts the orders sent under it, and a release waits for the orders in
 * flight. Then no order arrives under an older token than an earlier one.
 * FREEZE 1: a holder may be paused between the check of its lease and the first byte of the order,
 * for longer than its lease. Then only the memory limit is guaranteed.
 * COUNTS 0 removes the check of the count, which must violate the memory limit.
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
byte highestSeen = 0;              /* highest token that has reached the engine */

/* State of the engine, now and before its last change. */
byte accepted = 0;                  /* number of orders that the engine has accepted */
byte loaded[2];
byte acceptedBefore = 0;
byte loadedBefore[2];
#define total (loaded[0] + loaded[1])

/* Orders whose lease was checked and that are not sent yet, and orders in flight. */
bool leaseChecked[DAEMONS];
bool inFlight[DAEMONS];
byte kind[DAEMONS];
byte model[DAEMONS];
byte expected[DAEMONS];            /* count that the order names */
byte orderToken[DAEMONS];          /* token under which the order is sent */
byte answer[DAEMONS];              /* 0 none, 1 accepted, 2 rejected */

/* The order that the engine has deferred, if any. */
bool deferred = false;
byte deferredKind;
byte deferredModel;
byte deferredExpected;

inline carryOut(k, m, c, ok) {
  ok = 0;
  if
  :: (!COUNTS || c == accepted) && accepted < MAXORDERS ->
     acceptedBefore = accepted; loadedBefore[0] = loaded[0]; loadedBefore[1] = loaded[1];
     accepted++;
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
       :: inFlight[0] -> d = 0
       :: inFlight[1] -> d = 1
       fi;
       inFlight[d] = false;
       /* The order arrives or is lost. */
       if
       :: true ->
          assert(FREEZE || orderToken[d] >= highestSeen);
          if
          :: orderToken[d] > highestSeen -> highestSeen = orderToken[d]
          :: else -> skip
          fi;
          if
          :: carryOut(kind[d], model[d], expected[d], ok);
             if
             :: answer[d] = 2 - ok
             :: answer[d] = 0
             fi
          :: !deferred -> deferred = true; deferredKind = kind[d]; deferredModel = model[d]; deferredExpected = expected[d]; answer[d] = 0
          fi
       :: true -> answer[d] = 0
       fi;
       ok = 0; d = 0
     }
  :: atomic { deferred -> deferred = false; carryOut(deferredKind, deferredModel, deferredExpected, ok); ok = 0 }
  :: atomic { deferred -> deferred = false }
  od
}

#define noOrderInFlight ((FREEZE || !(leaseChecked[0] || leaseChecked[1])) && !(inFlight[0] || inFlight[1]))

proctype Daemon(byte me) {
  byte myToken;
  byte knownAccepted;
  byte knownLoaded[2];
  byte k, m;

  end: do
  :: atomic { token < MAXTOKEN && (!WAIT || noOrderInFlight) -> token++; holder = me; myToken = token };
     read:
     /* Read the report of the engine, which may lack the last change. */
     atomic {
       if
       :: knownAccepted = accepted; knownLoaded[0] = loaded[0]; knownLoaded[1] = loaded[1]
       :: knownAccepted = acceptedBefore; knownLoaded[0] = loadedBefore[0]; knownLoaded[1] = loadedBefore[1]
       fi
     };
     /* Decide: load a model into free memory, or unload one to free memory. */
     atomic {
       if
       :: knownLoaded[0] + knownLoaded[1] == 0 -> k = LOAD; m = 0
       :: knownLoaded[0] + knownLoaded[1] == 0 -> k = LOAD; m = 1
       :: knownLoaded[0] -> k = UNLOAD; m = 0
       :: knownLoaded[1] -> k = UNLOAD; m = 1
       fi
     };
     send:
     /* Check the lease, then send the first byte in a step of its own. */
     atomic {
       if
       :: holder == me && token == myToken -> leaseChecked[me] = true; kind[me] = k; model[me] = m; expected[me] = knownAccepted; orderToken[me] = myToken; answer[me] = 0
       :: else -> goto termEnd
       fi
     };
     atomic { leaseChecked[me] = false; inFlight[me] = true };
     atomic { !inFlight[me] -> skip };
     if
     :: answer[me] == 1 ->
        atomic {
          knownAccepted++;
          knownLoaded[m] = (k == LOAD -> 1 : 0);
          if
          :: knownLoaded[0] + knownLoaded[1] == 0 -> k = LOAD; m = 1 - m
          :: knownLoaded[0] + knownLoaded[1] > 0 -> k = UNLOAD
          fi
        };
        if
        :: goto send
        :: goto read
        :: goto termEnd
        fi
     :: answer[me] == 0 ->
        /* Send the same order again with the same count, or read the report. */
        if
        :: goto send
        :: goto read
        :: goto termEnd
        fi
     :: answer[me] == 2 -> goto read
     fi;
     termEnd: skip
  od
}

init {
  atomic {
    run Network();
    run Daemon(0);
    run Daemon(1)
  }
}
