/*
 * The lease of one pool on a log that drops its history. A daemon that lacks records begins with a snapshot that
 * covers them, or with a start-over: a record at which all folds begin without a lease, and that counts only
 * directly behind the last record that its writer has read.
 *
 * The offset of a claim is its token. Each daemon folds the records by itself, one at a time. It sends one claim or
 * start-over at a time, which reaches the log at any later moment or never. Restarts forget everything. Time is not
 * modelled: a lease lasts until a daemon has waited for its duration, which ends all leases that count from the records
 * up to the last one that this daemon has read.
 *
 * SABOTAGE 1 lets a daemon that finds no record begin without a lease, 2 accepts a start-over behind records that
 * its writer has not read, 3 leaves out the wait before it, and 4 accepts snapshots that don't cover the dropped
 * records.
 */
#ifndef SABOTAGE
#define SABOTAGE 0
#endif
/* Processes of all daemons: the daemons restart if it is more than DAEMONS. */
#ifndef MAXPROCESSES
#define MAXPROCESSES 2
#endif
#define DAEMONS 2
#define MAXEND 4                   /* records, so that the search ends */
#define NONE 0

mtype = { claim, renewal, snapshot, startOver };

/* A record: its writer is a process. What arg is depends on the kind: the last record of the lease that a claim has
   seen, the last record that a snapshot covers, or that the writer of a start-over has read. The rest is the state in
   a snapshot. */
typedef Record {
  mtype kind;
  byte writer;
  byte arg;
  byte holder;
  byte token;
  byte last
};
Record log[MAXEND + 1];
byte end = 0;
byte first = 1;                    /* the oldest record that the log still has */

/* The fold of each daemon: the holder is a process, and last the last record of the lease. */
typedef Fold {
  byte to;
  byte holder;
  byte token;
  byte last
};
Fold fold[DAEMONS];
Fold whole;                        /* the fold of all records */

byte processes = DAEMONS;
byte daemonOf[MAXPROCESSES + 1];
byte self[DAEMONS];                /* the process of each daemon */
bool valid[DAEMONS];
byte validBy[DAEMONS];             /* the record that the validity counts from */
bool inGap[DAEMONS];
byte gapNext[DAEMONS];             /* the offset of the next record, as the daemon in a gap has read it */
mtype sentKind[DAEMONS];           /* the record on its way to the log; 0 if there is none */
byte sentWriter[DAEMONS];
byte sentArg[DAEMONS];
byte expiredTo = 0;                /* leases that count from records up to this one have expired */

/* The last order. */
byte lastToken = 0;
byte lastProcess = NONE;

/* Variables of the atomic steps. */
hidden byte i;
hidden byte found;

inline apply(f, o) {
  if
  :: log[o].kind == claim && log[o].arg == f.last -> f.holder = log[o].writer; f.token = o; f.last = o
  :: log[o].kind == renewal && log[o].writer == f.holder -> f.last = o
  :: log[o].kind == startOver && (log[o].arg + 1 == o || SABOTAGE == 2) -> f.holder = NONE; f.token = 0; f.last = o
  :: else -> skip
  fi;
  f.to = o
}

inline endLease(d) { valid[d] = false; validBy[d] = 0 }

/* All leases expire that count from the records up to an offset. */
inline expire(to) {
  if
  :: expiredTo < to -> expiredTo = to
  :: else -> skip
  fi;
  for (i : 0 .. DAEMONS - 1) {
    if
    :: valid[i] && validBy[i] <= to -> endLease(i)
    :: else -> skip
    fi
  }
}

inline append(k, w, a) {
  end++;
  log[end].kind = k; log[end].writer = w; log[end].arg = a;
  apply(whole, end)
}

inline send(k, a) { sentKind[me] = k; sentWriter[me] = self[me]; sentArg[me] = a }

inline endSend() { sentKind[me] = 0; sentWriter[me] = 0; sentArg[me] = 0 }

inline clear(r) { r.kind = 0; r.writer = 0; r.arg = 0; r.holder = 0; r.token = 0; r.last = 0 }

/* The newest snapshot or start-over in the log; its fold replaces that of the daemon. */
inline findStart() {
  found = false;
  for (i : first .. end) {
    if
    :: log[i].kind == snapshot && (log[i].arg + 1 >= first || SABOTAGE == 4) && log[i].arg > fold[me].to ->
       found = true; fold[me].to = log[i].arg; fold[me].holder = log[i].holder; fold[me].token = log[i].token;
       fold[me].last = log[i].last
    :: log[i].kind == startOver && (log[i].arg + 1 == i || SABOTAGE == 2) && i > fold[me].to + 1 ->
       found = true; fold[me].to = i - 1; fold[me].holder = NONE; fold[me].token = 0; fold[me].last = 0
    :: else -> skip
    fi
  }
  if
  :: found && fold[me].to + 1 < first -> fold[me].to = first - 1
  :: else -> skip
  fi
}

#define lacks(d) (first > fold[d].to + 1)
#define mayKnow(d) (!inGap[d])

proctype Daemon(byte me) {
  do
  /* An order under a valid lease. */
  :: atomic {
       valid[me] && fold[me].holder == self[me] ->
       assert(fold[me].token > lastToken || fold[me].token == lastToken && lastProcess == self[me]);
       lastToken = fold[me].token; lastProcess = self[me]
     }
  /* The process restarts. */
  :: atomic {
       processes < MAXPROCESSES ->
       processes++; daemonOf[processes] = me; self[me] = processes; endLease(me);
       inGap[me] = false; gapNext[me] = 0; fold[me].to = 0; fold[me].holder = NONE; fold[me].token = 0; fold[me].last = 0
     }
  /* The daemon reads the next record. Its lease counts from before it sent the record that it reads back. */
  :: atomic {
       !lacks(me) && fold[me].to < end ->
       inGap[me] = false; gapNext[me] = 0;
       apply(fold[me], fold[me].to + 1);
       if
       :: fold[me].holder != self[me] || log[fold[me].to].kind == startOver -> endLease(me)
       :: fold[me].holder == self[me] && fold[me].last == fold[me].to && fold[me].to > expiredTo ->
          valid[me] = true; validBy[me] = fold[me].to
       :: else -> skip
       fi;
       assert(fold[me].to < end ||
              fold[me].holder == whole.holder && fold[me].token == whole.token && fold[me].last == whole.last)
     }
  /* The log lacks the next record. */
  :: atomic {
       lacks(me) && !(inGap[me] && gapNext[me] == end + 1) ->
       findStart();
       if
       :: found -> inGap[me] = false; gapNext[me] = 0; endLease(me)
       :: !found && SABOTAGE == 1 && first > end ->
          endLease(me);
          fold[me].to = end; fold[me].holder = NONE; fold[me].token = 0; fold[me].last = 0
       :: else -> inGap[me] = true; gapNext[me] = end + 1
       fi
     }
  /* A claim: at once if there is no holder or it is an earlier process of this daemon, otherwise after the wait. */
  :: atomic {
       mayKnow(me) && fold[me].to > 0 && sentKind[me] == 0 && fold[me].holder != self[me] ->
       if
       :: fold[me].holder != NONE && daemonOf[fold[me].holder] != me -> expire(fold[me].last)
       :: else -> skip
       fi;
       send(claim, fold[me].last)
     }
  /* The first claim of all, on a log that has no records. */
  :: atomic { mayKnow(me) && first == 1 && end == 0 && sentKind[me] == 0 -> send(claim, 0) }
  :: atomic { mayKnow(me) && end < MAXEND && fold[me].holder == self[me] -> append(renewal, self[me], 0) }
  :: atomic {
       mayKnow(me) && first > 1 && end < MAXEND && fold[me].to > 0 ->
       append(snapshot, self[me], fold[me].to);
       log[end].holder = fold[me].holder; log[end].token = fold[me].token; log[end].last = fold[me].last
     }
  /* A start-over, after the log has had no record for the duration of the lease. */
  :: atomic {
       inGap[me] && gapNext[me] == end + 1 && sentKind[me] == 0 ->
       if
       :: SABOTAGE == 3 -> skip
       :: else -> expire(gapNext[me] - 1)
       fi;
       send(startOver, gapNext[me] - 1)
     }
  /* What was sent arrives, or is lost. */
  :: atomic {
       sentKind[me] != 0 && end < MAXEND -> append(sentKind[me], sentWriter[me], sentArg[me]); endSend()
     }
  :: atomic { sentKind[me] != 0 -> endSend() }
  od
}

/* The log drops some or all of its records. */
proctype Store() {
  end_store:
  do
  :: atomic { first <= end -> clear(log[first]); first++ }
  od
}

init {
  atomic {
    daemonOf[1] = 0; daemonOf[2] = 1;
    self[0] = 1; self[1] = 2;
    run Store();
    run Daemon(0);
    run Daemon(1)
  }
}
