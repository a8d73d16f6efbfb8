/*
 * Request ids: an order runs at most once, and "not run" is never false.
 *
 * One id, issued by the first start of entry A. The caller sends it up to
 * ATTEMPTS times, to A or to entry B, which forwards. A may be replaced once.
 * Every message between processes may be lost; A may give up waiting at any
 * time. `runs` counts executions at the searcher.
 *
 * Broken variants (each must violate an assertion):
 *   BROKEN_RETRY_UNKNOWN   a repeat after an unknown outcome runs again
 *   BROKEN_FOREIGN_RUN     B runs the id itself when A does not answer
 *   BROKEN_START           a new start of A accepts ids of the old one
 *   BROKEN_TIMEOUT_NOT_RUN giving up after sending is reported as "not run"
 *   BROKEN_RELAY_NOT_RUN   the relay reports a link lost after sending as
 *                          "not run"
 */

#define ATTEMPTS 3

mtype = { ORDER, DONE, NOT_RUN, UNKNOWN };

/* What the entry knows about the id: struct rid_entry in entry/reqid.c. */
mtype = { ISSUED, RUNNING, ENDED };

chan to_a = [2] of { mtype };          /* ORDER from the caller or from B */
chan to_b = [2] of { mtype };
chan exec = [2] of { byte };           /* EXEC with its qid */
chan exec_reply = [2] of { byte, mtype };

byte runs = 0;
byte execs_alive = 0; /* EXECs that may still reach the searcher */

byte lost_execs = 0;

byte a_start = 0;
mtype a_state = ISSUED;
mtype a_outcome = UNKNOWN;
byte a_qid = 0;

inline check_not_run()
{
    /* Nobody may say "not run" while a run happened or may still happen. */
    assert(runs == 0 && execs_alive == 0);
}

/* ord_finish() in entry/order.c: the caller sees the outcome. */
inline answer(outcome)
{
    if
    :: outcome == NOT_RUN -> check_not_run()
    :: else -> skip
    fi
}

/* ord_try() in entry/order.c: EXEC goes to the holder's relay. */
inline send_exec()
{
    a_qid++;
    if
    :: nfull(exec) -> exec ! a_qid; execs_alive++; a_state = RUNNING
    :: a_state = RUNNING; execs_alive++; /* lost on the way: nobody knows */
       lost_execs++
    :: a_state = ENDED; a_outcome = NOT_RUN; answer(NOT_RUN) /* RC_AGAIN */
    fi
}

active proctype entry_a()
{
    byte qid;
    mtype outcome;
end:
    do
    /* ord_submit() in entry/order.c: an order with the id arrives. */
    :: to_a ? ORDER ->
        atomic {
            if
#ifndef BROKEN_START
            :: a_start != 0 -> answer(UNKNOWN)
            :: a_start == 0 && a_state == ISSUED -> send_exec()
            :: a_start == 0 && a_state == RUNNING -> skip
            :: a_start == 0 && a_state == ENDED && a_outcome == NOT_RUN ->
                send_exec()
            :: a_start == 0 && a_state == ENDED && a_outcome != NOT_RUN ->
#else
            :: a_state == ISSUED -> send_exec()
            :: a_state == RUNNING -> skip
            :: a_state == ENDED && a_outcome == NOT_RUN -> send_exec()
            :: a_state == ENDED && a_outcome != NOT_RUN ->
#endif
#ifdef BROKEN_RETRY_UNKNOWN
                if
                :: a_outcome == UNKNOWN -> send_exec()
                :: else -> answer(a_outcome)
                fi
#else
                answer(a_outcome)
#endif
            fi
        }
    /* ord_reply() in entry/order.c: EXEC_REPLY, also a late one. */
    :: exec_reply ? qid, outcome ->
        atomic {
            if
            :: qid == a_qid && (a_state == RUNNING
                   || (a_state == ENDED && a_outcome == UNKNOWN)) ->
                a_state = ENDED;
                a_outcome = outcome;
                answer(outcome)
            :: else -> skip
            fi
        }
    /* ord_end() in entry/order.c: the deadline passes. */
    :: a_state == RUNNING ->
        atomic {
            a_state = ENDED;
#ifdef BROKEN_TIMEOUT_NOT_RUN
            a_outcome = NOT_RUN;
#else
            a_outcome = UNKNOWN;
#endif
            answer(a_outcome)
        }
    /* The machine is replaced: a new start with an empty table. */
    :: a_start == 0 ->
        atomic { a_start = 1; a_state = ISSUED; a_outcome = UNKNOWN }
    od
}

/* fwd_start() in entry/forward.c: an entry that did not issue the id. */
active proctype entry_b()
{
end:
    do
    :: to_b ? ORDER ->
        if
        :: nfull(to_a) -> to_a ! ORDER  /* forwarded */
        :: skip                         /* lost: the outcome is unknown */
#ifdef BROKEN_FOREIGN_RUN
        :: atomic { nfull(exec) -> exec ! 100; execs_alive++ }
#endif
        fi
    od
}

/* exe_start() in relay/order.c and the searcher behind it. */
active proctype relay()
{
    byte qid;
    mtype outcome;
end:
    do
    :: exec ? qid ->
        if
        /* Refused before any byte was sent, or the searcher shed it. */
        :: atomic { execs_alive--; outcome = NOT_RUN }
        /* Ran; the answer came back. */
        :: atomic { execs_alive--; runs++; outcome = DONE }
        /* Link lost after sending: it ran, or it never will. */
        :: atomic { execs_alive--; runs++; outcome = UNKNOWN }
        :: atomic { execs_alive--; outcome = UNKNOWN }
        fi;
        assert(runs <= 1);
#ifdef BROKEN_RELAY_NOT_RUN
        if
        :: outcome == UNKNOWN -> outcome = NOT_RUN
        :: else -> skip
        fi;
#endif
        if
        :: nfull(exec_reply) -> exec_reply ! qid, outcome
        :: skip /* lost */
        fi
    od
}

active proctype caller()
{
    byte sent = 0;
    do
    :: sent < ATTEMPTS && nfull(to_a) -> to_a ! ORDER; sent++
    :: sent < ATTEMPTS && nfull(to_b) -> to_b ! ORDER; sent++
    :: sent < ATTEMPTS -> sent++ /* lost */
    :: sent == ATTEMPTS -> break
    od
}
