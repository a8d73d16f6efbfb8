/*
 * Request ids of orders. Checks that an order is executed at most once, and
 * that "not run" is only reported for an order that was not and will not be
 * executed.
 *
 * The model has one id, issued by the first process of VM A. The caller sends
 * the order up to ATTEMPTS times, to A or to VM B, which forwards it to A. A
 * may be restarted once. Every message between processes may be lost, and the
 * deadline at A may pass at any time. `executions` counts executions at the
 * backend servers.
 *
 * Broken variants, each of which must violate an assertion:
 *   BROKEN_RETRY_UNKNOWN   a repeat after an unknown outcome is run again
 *   BROKEN_FOREIGN_RUN     B runs the order itself when A does not respond
 *   BROKEN_START           a new process of A accepts ids of the old one
 *   BROKEN_TIMEOUT_NOT_RUN a timeout after sending is reported as "not run"
 *   BROKEN_LOST_NOT_RUN    a connection lost after sending is taken as "not
 *                          run"
 *   BROKEN_LOST_RETRY      after such a loss the order is sent to the other
 *                          replica
 */

/* Sends of the order by the caller. */
#define ATTEMPTS 3
/* Replicas that one run of A may try. */
#define REPLICAS 2

mtype = { ORDER, DONE, NOT_RUN, UNKNOWN };

/* State of the id at A: struct request_id_entry in native/request_id.c. */
mtype = { ISSUED, RUNNING, ENDED };

chan to_a = [2] of { mtype };      /* ORDER from the caller or from B */
chan to_b = [2] of { mtype };
chan request = [2] of { byte };    /* number of A's attempt */
chan reply = [2] of { byte, mtype };

byte executions = 0;
byte in_flight = 0; /* requests that may still reach a backend server */

byte a_restarted = 0;
mtype a_state = ISSUED;
mtype a_outcome = UNKNOWN;
byte a_attempt = 0;
byte a_replicas_tried = 0; /* in this run */

inline check_not_run()
{
    /* "not run" is false if the order was or may still be executed. */
    assert(executions == 0 && in_flight == 0);
}

/* order_on_result() in native/order.c: the outcome is reported to callers. */
inline report(outcome)
{
    if
    :: outcome == NOT_RUN -> check_not_run()
    :: else -> skip
    fi
}

inline end_run(outcome)
{
    a_state = ENDED;
    a_outcome = outcome;
    report(outcome)
}

/* part_attempt() in gateway/part.c: A sends to one backend server. */
inline send_request()
{
    a_attempt++;
    a_replicas_tried++;
    a_state = RUNNING;
    if
    :: nfull(request) -> request ! a_attempt; in_flight++
    :: in_flight++                 /* lost, which A cannot know */
    :: end_run(NOT_RUN)            /* connecting failed, no byte was sent */
    fi
}

inline start_run()
{
    a_replicas_tried = 0;
    send_request()
}

active proctype vm_a()
{
    byte attempt;
    mtype outcome;
end:
    do
    /* order_submit() in native/order.c: an order with the id arrives. */
    :: to_a ? ORDER ->
        atomic {
            if
#ifndef BROKEN_START
            :: a_restarted != 0 -> report(UNKNOWN)
            :: a_restarted == 0 && a_state == ISSUED -> start_run()
            :: a_restarted == 0 && a_state == RUNNING -> skip
            :: a_restarted == 0 && a_state == ENDED && a_outcome == NOT_RUN ->
                start_run()
            :: a_restarted == 0 && a_state == ENDED && a_outcome != NOT_RUN ->
#else
            :: a_state == ISSUED -> start_run()
            :: a_state == RUNNING -> skip
            :: a_state == ENDED && a_outcome == NOT_RUN -> start_run()
            :: a_state == ENDED && a_outcome != NOT_RUN ->
#endif
#ifdef BROKEN_RETRY_UNKNOWN
                if
                :: a_outcome == UNKNOWN -> start_run()
                :: else -> report(a_outcome)
                fi
#else
                report(a_outcome)
#endif
            fi
        }
    /* part_on_failure() and part_on_success() in gateway/part.c: a backend
     * server replies. A late reply to an earlier attempt is dropped. */
    :: reply ? attempt, outcome ->
        atomic {
            if
            :: attempt == a_attempt && a_state == RUNNING ->
                if
                :: outcome == NOT_RUN && a_replicas_tried < REPLICAS ->
                    send_request()
                :: outcome == NOT_RUN && a_replicas_tried == REPLICAS ->
                    end_run(NOT_RUN)
                :: outcome == DONE -> end_run(DONE)
                :: outcome == UNKNOWN ->
#ifdef BROKEN_LOST_NOT_RUN
                    end_run(NOT_RUN)
#else
#ifdef BROKEN_LOST_RETRY
                    send_request()
#else
                    end_run(UNKNOWN)
#endif
#endif
                fi
            :: else -> skip
            fi
        }
    /* The deadline passes. */
    :: a_state == RUNNING ->
        atomic {
#ifdef BROKEN_TIMEOUT_NOT_RUN
            end_run(NOT_RUN)
#else
            end_run(UNKNOWN)
#endif
        }
    /* A is restarted: the new process has an empty table of ids. */
    :: a_restarted == 0 ->
        atomic { a_restarted = 1; a_state = ISSUED; a_outcome = UNKNOWN }
    od
}

/* orders_forward() in native/orders.c: B, which did not issue the id. */
active proctype vm_b()
{
end:
    do
    :: to_b ? ORDER ->
        if
        :: nfull(to_a) -> to_a ! ORDER  /* forwarded */
        :: skip                         /* lost: the outcome is unknown */
#ifdef BROKEN_FOREIGN_RUN
        :: atomic { nfull(request) -> request ! 100; in_flight++ }
#endif
        fi
    od
}

active proctype backend_server()
{
    byte attempt;
    mtype outcome;
end:
    do
    :: request ? attempt ->
        if
        /* Refused without being executed. */
        :: atomic { in_flight--; outcome = NOT_RUN }
        /* Executed; the reply arrives unless it is lost below. */
        :: atomic { in_flight--; executions++; outcome = DONE }
        /* Connection lost after sending: executed, or never will be. */
        :: atomic { in_flight--; executions++; outcome = UNKNOWN }
        :: atomic { in_flight--; outcome = UNKNOWN }
        fi;
        assert(executions <= 1);
        if
        :: nfull(reply) -> reply ! attempt, outcome
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
