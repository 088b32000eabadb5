/*
 * The share of one daemon (the lender) in a limit, which it uses itself or lends to one of two
 * coordinators, and the units that coordinator 0 grants to it.
 *
 * Reports and answers may be lost, arrive late and out of order, and reports may arrive twice. A
 * report echoes the newest stamp of its coordinator, whose loan lasts LOAN ticks from that stamp. The
 * lender may use the share LOAN ticks after it received the stamp, or when the coordinator has answered
 * a report that doesn't lend it. The units of a report that is handled go back into the bucket.
 *
 * The share is used at one place at any time. With RESTART 1 the lender may be restarted, and then
 * two coordinators may have it for LOAN ticks, but not the lender beside them. With CRASH 1 coordinator
 * 0 may be restarted. Units are never more than the bucket had.
 * SABOTAGE 1 lets a loan begin when the report arrives, SABOTAGE 2 handles reports that arrive
 * late or twice, and SABOTAGE 3 lets a restarted lender use its share at once; each must violate that.
 */
#ifndef RESTART
#define RESTART 0
#endif
#ifndef CRASH
#define CRASH 0
#endif
#ifndef SABOTAGE
#define SABOTAGE 0
#endif
#ifndef MAXSEQUENCE
#define MAXSEQUENCE 3
#endif
#define LOAN 2
#define MAXTIME 4
#define UNITS 1
#define NONE 255

byte now = 1;

/* The coordinators. A loan is in use while now < until. */
byte until[2];
byte process[2];
byte lastProcess[2];               /* process of the lender of the last report */
byte lastSequence[2];
byte level = UNITS;                 /* bucket of coordinator 0 */

/* The lender. stamp is 0 if there is none. */
byte lenderProcess = 1;
byte sequence = 0;
byte stamp[2];
byte stampProcess[2];
byte receivedAt[2];
byte lentTo = NONE;
byte promise = 0;
byte homeFrom = LOAN;
byte hand = 0;
byte spent = 0;
bool waits[2];                      /* a report is not answered yet */

/* Reports in the network: 2 * c is the last one to coordinator c, and 2 * c + 1 an earlier one. */
bool reported[4];
byte reportProcess[4];
byte reportSequence[4];
byte reportStamp[4];
byte reportStampProcess[4];
bool reportLends[4];
byte reportReturns[4];

/* The answers to the last reports. */
bool answered[2];
byte answerStamp[2];
byte answerProcess[2];
byte answerUnits[2];
bool lastLends[2];                  /* the last report lends the share */

#define canUse (now >= homeFrom && now >= promise)
#define lent(c) (now < until[c])

inline check() {
  assert(!(canUse && (lent(0) || lent(1))));
  assert(RESTART || !(lent(0) && lent(1)));
  assert(spent + hand + level + (answered[0] -> answerUnits[0] : 0) <= UNITS);
}

inline report(c) {
  d_step {
    sequence++;
    /* A report that was not handled yet arrives late. */
    reported[2 * c + 1] = reported[2 * c];
    reportProcess[2 * c + 1] = reportProcess[2 * c];
    reportSequence[2 * c + 1] = reportSequence[2 * c];
    reportStamp[2 * c + 1] = reportStamp[2 * c];
    reportStampProcess[2 * c + 1] = reportStampProcess[2 * c];
    reportLends[2 * c + 1] = reportLends[2 * c];
    reportReturns[2 * c + 1] = reportReturns[2 * c];
    reported[2 * c] = 1;
    reportProcess[2 * c] = lenderProcess;
    reportSequence[2 * c] = sequence;
    reportStamp[2 * c] = stamp[c];
    reportStampProcess[2 * c] = stampProcess[c];
    reportLends[2 * c] = lends;
    lastLends[c] = lends;
    reportReturns[2 * c] = 0;
    if
    :: c == 0 -> reportReturns[0] = hand; hand = 0
    :: else -> skip
    fi;
    waits[c] = 1;
    answered[c] = 0;
    if
    :: lends ->
       lentTo = c;
       if
       :: receivedAt[c] + LOAN > promise -> promise = receivedAt[c] + LOAN
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

/* A report that does not arrive any more. Its fields are reset, which saves states. */
inline forget(k) {
  reported[k] = 0; reportProcess[k] = 0; reportStamp[k] = 0; reportStampProcess[k] = 0; reportLends[k] = 0; reportReturns[k] = 0
}

/* The report i arrives; it stays in the network if it arrives twice. */
inline handle(c, i) {
  d_step {
    isNew = (reportProcess[i] > lastProcess[c] || (reportProcess[i] == lastProcess[c] && reportSequence[i] > lastSequence[c]));
    if
    :: isNew || SABOTAGE == 2 ->
       lastProcess[c] = reportProcess[i];
       lastSequence[c] = reportSequence[i];
       until[c] = 0;
       if
       :: reportLends[i] && reportStamp[i] != 0 && reportStampProcess[i] == process[c] ->
          until[c] = (SABOTAGE == 1 -> now : reportStamp[i]) + LOAN
       :: else -> skip
       fi;
       if
       :: c == 0 && reportStampProcess[i] == process[0] -> level = level + reportReturns[i]
       :: else -> skip
       fi;
       if
       :: waits[c] && reportProcess[i] == lenderProcess && reportSequence[i] == reportSequence[2 * c] && i == 2 * c ->
          answered[c] = 1;
          answerStamp[c] = now;
          answerProcess[c] = process[c];
          answerUnits[c] = 0;
          if
          :: c == 0 && level > 0 -> level--; answerUnits[0] = 1
          :: else -> skip
          fi
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

inline receive(c) {
  d_step {
    answered[c] = 0;
    waits[c] = 0;
    stamp[c] = answerStamp[c];
    stampProcess[c] = answerProcess[c];
    receivedAt[c] = now;
    hand = hand + answerUnits[c];
    answerUnits[c] = 0; answerStamp[c] = 0; answerProcess[c] = 0;
    if
    :: lentTo == c && !lastLends[c] -> lentTo = NONE; promise = 0
    :: else -> skip
    fi
  }
}

#define mayLend(c) (stamp[c] != 0 && receivedAt[c] + LOAN > now && (lentTo == c || now >= promise))

active proctype steps() {
  byte c;
  byte i;
  bool lends;
  bool isNew;
  do
  :: now < MAXTIME -> now++; check()
  :: atomic {
       sequence < MAXSEQUENCE && (!waits[0] || !waits[1]) ->
       if :: !waits[0] -> c = 0 :: !waits[1] -> c = 1 fi;
       if :: mayLend(c) -> lends = 1 :: lends = 0 fi;
       report(c);
       check();
       c = 0; lends = 0
     }
  :: atomic {
       reported[0] || reported[1] || reported[2] || reported[3] ->
       if :: reported[0] -> i = 0 :: reported[1] -> i = 1 :: reported[2] -> i = 2 :: reported[3] -> i = 3 fi;
       c = i / 2;
       handle(c, i);
       if :: forget(i) :: skip fi;
       check();
       c = 0; i = 0; isNew = 0
     }
  :: atomic {
       answered[0] || answered[1] ->
       if :: answered[0] -> c = 0 :: answered[1] -> c = 1 fi;
       receive(c);
       check();
       c = 0
     }
  /* The report or its answer is late: the lender waits for it no longer, and units in it are lost. */
  :: atomic {
       waits[0] || waits[1] ->
       if :: waits[0] -> c = 0 :: waits[1] -> c = 1 fi;
       waits[c] = 0; answered[c] = 0; answerUnits[c] = 0; answerStamp[c] = 0; answerProcess[c] = 0;
       c = 0
     }
  :: atomic { hand > 0 -> hand--; spent++; check() }
  :: atomic {
       RESTART && lenderProcess < 2 ->
       lenderProcess++; stamp[0] = 0; stamp[1] = 0; lentTo = NONE; promise = 0; hand = 0;
       homeFrom = (SABOTAGE == 3 -> now : now + LOAN);
       waits[0] = 0; waits[1] = 0; answered[0] = 0; answered[1] = 0; answerUnits[0] = 0;
       check()
     }
  :: atomic { CRASH && process[0] < 1 -> process[0]++; until[0] = 0; level = 0; lastProcess[0] = 0; lastSequence[0] = 0; check() }
  od
}
