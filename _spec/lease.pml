/*
 * Lease, fence, intent and handover of one pool with one model that may have one
 * replica, on ENGINES engines, between DAEMONS daemons.
 *
 * The log is the single order of claims and intents: one process changes it in
 * one step, as an append does. Time is abstracted: a claim may come at any
 * moment, as if the lease of the holder had just expired, so a holder may be
 * paused at any step for longer than its lease. An order that was sent stays
 * under way until it arrives, also after a takeover, and may be lost.
 *
 * CHECKED 1: engines refuse orders with a token older than the newest seen.
 * CHECKED 0: engines ignore tokens; an intent on the log precedes each order.
 * SABOTAGE 1 leaves out what the proof depends on: the fence of each engine, or
 * the adoption of open intents.
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
#define NOBODY 255

byte token = 0;              /* token of the holder, by the log */
byte holder = NOBODY;        /* holder, by the log */
bool up = true;              /* whether the log answers */
byte outages = 0;

/* Engines. */
byte loaded[ENGINES];        /* replicas on each */
byte seen[ENGINES];          /* newest token seen; lost at a restart */
byte incarnation[ENGINES];

/* Open intents, one for each engine: the token that wrote it, or 0. */
byte intentToken[ENGINES];
byte intentFor[ENGINES];     /* incarnation that it is for */

/* Orders under way, at most one for each daemon. */
bool sent[DAEMONS];
byte orderToken[DAEMONS];
byte orderEngine[DAEMONS];
byte orderFor[DAEMONS];      /* incarnation that the connection was opened to */

#define total (loaded[0] + loaded[1])

/* An order arrives: at the incarnation that it was sent to, or not at all. A load
 * of what is loaded changes nothing. */
inline arrive(d) {
  atomic {
    sent[d] && incarnation[orderEngine[d]] == orderFor[d] ->
    if
    :: CHECKED && orderToken[d] < seen[orderEngine[d]] -> skip
    :: else ->
       if
       :: orderToken[d] > seen[orderEngine[d]] -> seen[orderEngine[d]] = orderToken[d]
       :: else -> skip
       fi;
       loaded[orderEngine[d]] = 1;
       assert(total <= 1)
    fi;
    if
    :: intentToken[orderEngine[d]] == orderToken[d] -> intentToken[orderEngine[d]] = 0
    :: true -> skip          /* the answer, or the resolution, is lost */
    fi;
    sent[d] = false
  }
}

proctype Network() {
  do
  :: atomic { sent[0] -> skip }; if :: arrive(0) :: atomic { sent[0] -> sent[0] = false } fi
  :: atomic { sent[1] -> skip }; if :: arrive(1) :: atomic { sent[1] -> sent[1] = false } fi
  :: atomic { up && outages < 1 -> up = false; outages++ }
  :: atomic { !up -> up = true }
  :: atomic { incarnation[0] < 1 -> incarnation[0]++; loaded[0] = 0; seen[0] = 0 }
  od
}

proctype Daemon(byte me) {
  byte mine;                 /* token of my term */
  byte known[ENGINES];       /* what I count on each engine */
  byte inc[ENGINES];         /* incarnation that I fenced */
  byte e, target;
  bool valid;

  end: do
  :: atomic { up && token < MAXTOKEN && !sent[me] -> token++; holder = me; mine = token };

     /* Fence and read each engine; adopt open intents. */
     e = 0;
     do
     :: e < ENGINES ->
        atomic {
          if
          :: CHECKED && !SABOTAGE ->
             if
             :: seen[e] > mine -> goto superseded
             :: else -> seen[e] = mine
             fi
          :: else -> skip
          fi;
          inc[e] = incarnation[e];
          known[e] = loaded[e];
          if
          :: !CHECKED && !SABOTAGE && intentToken[e] != 0 && intentFor[e] == incarnation[e] -> known[e] = 1
          :: else -> skip
          fi
        };
        e++
     :: else -> break
     od;

     /* Decide while the lease is valid: no other claim is on the log. The pause
      * for longer than the lease may come right after. */
     atomic {
       valid = (holder == me && token == mine);
       if
       :: valid && known[0] + known[1] == 0 -> target = 0
       :: valid && known[0] + known[1] == 0 -> target = 1
       :: else -> goto superseded
       fi
     };

     /* Intent: accepted only while the token is that of the holder. */
     if
     :: !CHECKED ->
        atomic {
          if
          :: up && token == mine && (intentToken[target] == 0 || intentFor[target] != inc[target]) ->
             intentToken[target] = mine; intentFor[target] = inc[target]
          :: else -> goto superseded
          fi
        }
     :: else -> skip
     fi;

     /* The order goes out at any later time, to the incarnation decided for. */
     atomic {
       sent[me] = true; orderToken[me] = mine; orderEngine[me] = target; orderFor[me] = inc[target]
     };

     /* An unload by the holder, of what it knows and no order may load again. */
     if
     :: atomic { !sent[me] && holder == me && token == mine && loaded[target] == 1 && intentToken[target] == 0 && (!CHECKED || seen[target] == mine) && incarnation[target] == inc[target] -> loaded[target] = 0 }
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

