/*
 * The lease of one pool on a log that returns from older copies, which lack the records since the copy. Offsets
 * of lost records are given out again.
 *
 * A claim takes the next offset as its token. Time is not modelled: a lease expires at any moment, and a claim
 * waits until the leases that it must wait for have expired. A daemon that has not read the log since a return
 * goes on under its lease until it expires. Restarts forget everything. Records may arrive in a later era.
 *
 * At each return, MAXLOST offsets at most are lost in each era since the copy. A gap is GAP records for each of
 * these eras.
 * SABOTAGE 1 leaves out the gap, 2 the wait before the first claim of an era, 3 accepts claims that arrive
 * in a later era, and 4 counts one era for each gap.
 */
#ifndef SABOTAGE
#define SABOTAGE 0
#endif
#define DAEMONS 2
#define MAXERA 3
#define MAXLOST 2
#define GAP 3
#define MAXFIRST 2                 /* records of the first era, so that the search ends */
#define NONE 255

/* The log: its end, the holder and token, and the era and offset of the last EraStart. */
byte end = 0;
byte holder = NONE;
byte token = 0;
byte startEra = 1;
byte startOffset = 0;
byte era = 1;
byte written = 0;                  /* records since the copy was made or the era began */

/* The older copy. */
byte copyEnd = 0;
byte copyHolder = NONE;
byte copyToken = 0;
byte copyStartEra = 1;
byte copyStartOffset = 0;

/* The daemons. A claim on its way names the era and the last token that its writer has seen. */
byte knownEra[DAEMONS];            /* era that the daemon has read last; 0 after a restart */
byte myToken[DAEMONS];
bool valid[DAEMONS];
bool claiming[DAEMONS];
byte claimEra[DAEMONS];
byte claimSeen[DAEMONS];

/* The last order. */
byte lastToken = 0;
byte lastHolder = NONE;

#define noLeaseOfEarlierEras (!valid[0] && !valid[1])
#define settled(d) (knownEra[d] == era && startEra == era)

proctype Daemon(byte me) {
  do
  /* An order under a valid lease. */
  :: atomic {
       valid[me] ->
       assert(myToken[me] > lastToken || myToken[me] == lastToken && lastHolder == me);
       lastToken = myToken[me]; lastHolder = me
     }
  /* The lease expires, or the process restarts. */
  :: atomic { valid[me] -> valid[me] = false }
  :: atomic { knownEra[me] != 0 -> knownEra[me] = 0; valid[me] = false; myToken[me] = 0 }
  /* The daemon reads the log. In a new era it holds no lease. */
  :: atomic {
       knownEra[me] != era ->
       knownEra[me] = era; valid[me] = false
     }
  /* A later claim is read: the lease is lost. */
  :: atomic { knownEra[me] == era && valid[me] && token != myToken[me] -> valid[me] = false }
  /* EraStart behind its gap. */
  :: atomic {
       knownEra[me] == era && startEra < era && written < MAXLOST ->
       if
       :: SABOTAGE == 1 -> end = end + 1
       :: SABOTAGE == 4 -> end = end + GAP
       :: else -> end = end + GAP * (era - startEra)
       fi;
       startEra = era; startOffset = end; written++
     }
  /* A claim is sent: when the lease has expired, or no lease of an earlier era can be valid. */
  :: atomic {
       settled(me) && !claiming[me] && token >= startOffset && (holder == NONE || !valid[holder]) ->
       claiming[me] = true; claimEra[me] = era; claimSeen[me] = token
     }
  :: atomic {
       settled(me) && !claiming[me] && token < startOffset && (noLeaseOfEarlierEras || SABOTAGE == 2) ->
       claiming[me] = true; claimEra[me] = era; claimSeen[me] = token
     }
  /* It arrives, or is lost. */
  :: atomic {
       claiming[me] && written < MAXLOST && (era > 1 || end < MAXFIRST) ->
       claiming[me] = false; end = end + 1; written++;
       if
       :: claimSeen[me] == token && (claimEra[me] >= startEra || SABOTAGE == 3) ->
          holder = me; token = end;
          /* The writer reads it back, in the era of the claim only. */
          if
          :: knownEra[me] == claimEra[me] && era == claimEra[me] -> myToken[me] = end; valid[me] = true
          :: SABOTAGE == 3 && knownEra[me] == era -> myToken[me] = end; valid[me] = true
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: atomic { claiming[me] -> claiming[me] = false }
  od
}

proctype Store() {
  end_store:
  do
  /* A copy is made; copies from before earlier returns stay possible. */
  :: atomic {
       written == 0 || era == 1 ->
       copyEnd = end; copyHolder = holder; copyToken = token; copyStartEra = startEra; copyStartOffset = startOffset;
       written = 0
     }
  /* The log returns from the copy. */
  :: atomic {
       era < MAXERA ->
       era++; end = copyEnd; holder = copyHolder; token = copyToken; startEra = copyStartEra;
       startOffset = copyStartOffset; written = 0
     }
  od
}

init {
  atomic {
    knownEra[0] = 1; knownEra[1] = 1;
    run Store();
    run Daemon(0);
    run Daemon(1)
  }
}
