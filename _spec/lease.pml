/*
 * Leases, fences, intents and handovers of one pool between DAEMONS daemons. The pool has ENGINES
 * engines and one model, which may have at most one replica.
 *
 * The log totally orders claims and intents: a process changes it in one atomic step, as an append
 * does. Time is not modelled. A daemon may claim the pool at any moment, as if the holder's lease
 * had just expired, so a holder may be paused at any step for longer than its lease. An order that
 * was sent is in flight until it arrives or is lost, even after another daemon has taken over.
 *
 * CHECKED 1: engines reject orders with a token lower than the highest that they have seen.
 * CHECKED 0: engines ignore tokens. An intent is written to the log before each order.
 * SABOTAGE 1 removes the mechanism that the proof depends on: with CHECKED 1 the fencing of each
 * engine, with CHECKED 0 the adoption of open intents.
 */
#ifndef CHECKED
#define CHECKED 1
#endif
#ifndef SABOTAGE
#define SABOTAGE 0
#endif
#define DAEMONS 2
#define ENGINES 2
#define MAXTOKEN 4
#define NONE 255

byte token = 0;                    /* token of the holder according to the log */
byte holder = NONE;                /* holder according to the log */
bool logAvailable = true;          /* whether the log is available */
byte outages = 0;

/* State of the engines. */
byte loaded[ENGINES];              /* number of replicas on each engine */
byte highestSeen[ENGINES];         /* highest token seen; lost at a restart */
byte incarnation[ENGINES];

/* Open intents, at most one for each engine: the token under which it was written, or 0. */
byte intentToken[ENGINES];
byte intentIncarnation[ENGINES];   /* incarnation of the engine that the intent is for */

/* Orders in flight, at most one for each daemon. */
bool inFlight[DAEMONS];
byte orderToken[DAEMONS];
byte orderEngine[DAEMONS];
byte orderIncarnation[DAEMONS];    /* incarnation to which the connection was opened */

#define total (loaded[0] + loaded[1])

/* An order arrives at the incarnation to which it was sent, or not at all. Loading a model that is
 * already loaded has no effect. */
inline deliver(d) {
  atomic {
    inFlight[d] && incarnation[orderEngine[d]] == orderIncarnation[d] ->
    if
    :: CHECKED && orderToken[d] < highestSeen[orderEngine[d]] -> skip
    :: else ->
       if
       :: orderToken[d] > highestSeen[orderEngine[d]] -> highestSeen[orderEngine[d]] = orderToken[d]
       :: else -> skip
       fi;
       loaded[orderEngine[d]] = 1;
       assert(total <= 1)
    fi;
    if
    :: intentToken[orderEngine[d]] == orderToken[d] -> intentToken[orderEngine[d]] = 0
    :: true -> skip          /* the answer, or the record that resolves the intent, is lost */
    fi;
    inFlight[d] = false
  }
}

proctype Network() {
  do
  :: atomic { inFlight[0] -> skip }; if :: deliver(0) :: atomic { inFlight[0] -> inFlight[0] = false } fi
  :: atomic { inFlight[1] -> skip }; if :: deliver(1) :: atomic { inFlight[1] -> inFlight[1] = false } fi
  :: atomic { logAvailable && outages < 1 -> logAvailable = false; outages++ }
  :: atomic { !logAvailable -> logAvailable = true }
  :: atomic { incarnation[0] < 1 -> incarnation[0]++; loaded[0] = 0; highestSeen[0] = 0 }
  od
}

proctype Daemon(byte me) {
  byte myToken;                    /* token of this daemon's lease */
  byte knownLoaded[ENGINES];       /* replicas that this daemon assumes on each engine */
  byte fenced[ENGINES];            /* incarnation that this daemon has fenced */
  byte e, target;
  bool valid;

  end: do
  :: atomic { logAvailable && token < MAXTOKEN && !inFlight[me] -> token++; holder = me; myToken = token };

     /* Fence each engine, read its state and adopt its open intents. */
     e = 0;
     do
     :: e < ENGINES ->
        atomic {
          if
          :: CHECKED && !SABOTAGE ->
             if
             :: highestSeen[e] > myToken -> goto superseded
             :: else -> highestSeen[e] = myToken
             fi
          :: else -> skip
          fi;
          fenced[e] = incarnation[e];
          knownLoaded[e] = loaded[e];
          if
          :: !CHECKED && !SABOTAGE && intentToken[e] != 0 && intentIncarnation[e] == incarnation[e] -> knownLoaded[e] = 1
          :: else -> skip
          fi
        };
        e++
     :: else -> break
     od;

     /* Decide while the lease is valid, that is, no later claim is in the log. The daemon may be
      * paused for longer than its lease right after this step. */
     atomic {
       valid = (holder == me && token == myToken);
       if
       :: valid && knownLoaded[0] + knownLoaded[1] == 0 -> target = 0
       :: valid && knownLoaded[0] + knownLoaded[1] == 0 -> target = 1
       :: else -> goto superseded
       fi
     };

     /* Write the intent. The log accepts it only while the token is the holder's. */
     if
     :: !CHECKED ->
        atomic {
          if
          :: logAvailable && token == myToken && (intentToken[target] == 0 || intentIncarnation[target] != fenced[target]) ->
             intentToken[target] = myToken; intentIncarnation[target] = fenced[target]
          :: else -> goto superseded
          fi
        }
     :: else -> skip
     fi;

     /* Send the order, at any later time, to the incarnation for which it was decided. */
     atomic {
       inFlight[me] = true; orderToken[me] = myToken; orderEngine[me] = target; orderIncarnation[me] = fenced[target]
     };

     /* The holder may unload a replica that it knows and that no order in flight can load again. */
     if
     :: atomic { !inFlight[me] && holder == me && token == myToken && loaded[target] == 1 && intentToken[target] == 0 && (!CHECKED || highestSeen[target] == myToken) && incarnation[target] == fenced[target] -> loaded[target] = 0 }
     :: true -> skip
     fi;

     superseded: skip
  od
}

init {
  atomic {
    run Network();
    run Daemon(0);
    run Daemon(1)
  }
}

