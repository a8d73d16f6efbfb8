/*
 * The lease rules of section 6 of docs/design.md: one holder H, one successor
 * S, three voters and the store's object of one contract. Messages and store
 * requests take any time, messages and replies get lost, voters restart. Time advances in ticks that all clocks share; in the
 * code LEASE - BOUND covers the drift of clocks.
 *
 * Each rule can be left out with a macro; then spin must find two users.
 */

#define VOTERS 3

#ifndef LEASE
#define LEASE 3
#endif
#ifdef LONG_BOUND /* the holder goes on for longer than the voters wait */
#define BOUND (LEASE + 1)
#else
#define BOUND 2
#endif
/*
 * The code drops votes after 600 ms. Here they live for one LEASE, the longest
 * time for which the other rules make them safe.
 */
#ifdef LONG_ROUND /* votes count for longer than a voter is silent */
#define ROUND (LEASE + 1)
#else
#define ROUND LEASE
#endif

#ifdef ONE_VOTE /* no majority is needed */
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define VERSION_MAX 4
#define NOBODY 0
#define HOLDER 1
#define SUCCESSOR 2

/* Steps of a conditional update. */
#define IDLE 0
#define SENT 1
#define DONE 2     /* took effect, reply under way */
#define DOUBT 3    /* refused or no reply: to be read back */

#ifdef NO_RESTARTS
#define RESTARTS_MAX 0
#else
#define RESTARTS_MAX 1
#endif

/* The store's object. */
byte version = 1;
byte owner = HOLDER;
byte restarts = 0;

/* Voters. */
byte heard[VOTERS];     /* ticks since the last accepted beat */
byte silent[VOTERS];    /* ticks of silence left after a restart */
byte refuses[VOTERS];   /* ticks left in which it accepts no beat: it voted */

/* The holder. */
byte lease = BOUND;
byte beat_age = BOUND;
bool acked[VOTERS];
bool h_confirmed = true;
bool h_owner = true; /* as far as it knows */
byte h_version = 1;
byte h_step = IDLE;
bool h_leased = false; /* since the write was sent */

/* The successor. */
byte s_version = 0;
byte s_owner = NOBODY;
byte s_age = 0; /* ticks since it saw this version first */
bool asking = false;
byte round_age = 0;
bool votes[VOTERS];
bool decided = false; /* a majority said "not heard" of this version */
bool s_using = false;
byte s_step = IDLE;
byte s_write_version;

#define H_USING (h_confirmed && lease > 0)
#ifdef FRESH_VERSION /* the update is conditional on the newest version */
#define S_STABLE true
#else
#define S_STABLE (s_age >= LEASE)
#endif
#ifdef NO_LEASE_WAIT /* a voter does not wait for a LEASE */
#define VOTER_WAITED true
#else
#define VOTER_WAITED (heard[i] >= LEASE)
#endif
#ifdef SHORT_REFUSAL /* a voter accepts beats while its vote still counts */
#define REFUSAL 1
#else
#define REFUSAL LEASE
#endif
#define VOTE_COUNT (votes[0] + votes[1] + votes[2])
#define ACK_COUNT (acked[0] + acked[1] + acked[2])

#define CLEAR(array) array[0] = false; array[1] = false; array[2] = false

/* An update takes effect. */
inline write(machine)
{
    version++;
    owner = machine
}

#define KEY(i) \
    ((((heard[i] * (LEASE + 1) + silent[i]) * (LEASE + 1) + refuses[i]) * 2 + \
      votes[i]) * 2 + acked[i])

inline order(a, b)
{
    if
    :: KEY(a) > KEY(b) ->
        other = heard[a]; heard[a] = heard[b]; heard[b] = other;
        other = silent[a]; silent[a] = silent[b]; silent[b] = other;
        other = refuses[a]; refuses[a] = refuses[b]; refuses[b] = other;
        other = votes[a]; votes[a] = votes[b]; votes[b] = other;
        other = acked[a]; acked[a] = acked[b]; acked[b] = other
    :: else
    fi
}

/* The voters are alike, so their order is no part of the state. */
inline sort()
{
    d_step {
        order(0, 1);
        order(1, 2);
        order(0, 1);
        other = 0;
        i = 0
    }
}

/* Time passes for all. */
inline tick()
{
    d_step {
        i = 0;
        do
        :: i < VOTERS ->
            if
            :: heard[i] < LEASE -> heard[i]++
            :: else
            fi;
            if
            :: silent[i] > 0 -> silent[i]--
            :: else
            fi;
            if
            :: refuses[i] > 0 -> refuses[i]--
            :: else
            fi;
            i++
        :: else -> break
        od;
        i = 0;
        if
        :: beat_age < BOUND -> beat_age++
        :: else
        fi;
        if
        :: beat_age == BOUND -> CLEAR(acked)
        :: else
        fi;
        if
        :: lease > 0 -> lease--
        :: else
        fi;
        /* lse_extend() begins a new term after this. */
        if
        :: lease == 0 ->
#ifndef KEEP_AFTER_LAPSE /* the old epoch counts again after a lapse */
            h_confirmed = false;
#endif
            h_leased = false
        :: else
        fi;
        if
        :: s_owner == HOLDER && s_age < LEASE -> s_age++
        :: else
        fi;
        if
        :: asking -> round_age++
        :: else
        fi;
#ifndef VOTES_KEPT /* votes count however old they are */
        if
        :: asking && round_age >= ROUND ->
            asking = false;
            CLEAR(votes);
            round_age = 0
        :: else
        fi;
#else
        round_age = 0;
#endif
        order(0, 1);
        order(1, 2);
        order(0, 1);
        other = 0
    }
}

/* S learns the object: ctr_learn(). */
inline s_learn()
{
    if
    :: s_version != version ->
        s_version = version;
        s_owner = owner;
        s_age = 0;
        asking = false;
        decided = false;
        CLEAR(votes);
        round_age = 0
    :: else
    fi
}

/* H learns the object: ctr_learn(). */
inline h_learn()
{
    h_version = version;
    if
    :: owner != HOLDER ->
        h_owner = false;
        h_confirmed = false
    :: else
    fi
}

active proctype contract()
{
    byte i = 0;
    byte other = 0;

    do
    :: H_USING && s_using -> assert(false)

    :: tick()

    /* lse_tick(): a new beat replaces the one before. */
    :: atomic {
           beat_age > 0 ->
           beat_age = 0;
           CLEAR(acked)
       }

    /*
     * lse_on_beat(), lse_on_ack(): a voter accepts the beat. A late
     * acknowledgement is the same as a late beat, since the lease counts
     * from the time it was sent; it may also be lost.
     */
    :: atomic {
           beat_age < BOUND ->
           if
           :: i = 0
           :: i = 1
           :: i = 2
           fi;
           if
           :: silent[i] == 0 && refuses[i] == 0 && !acked[i] ->
               heard[i] = 0;
               if
               :: acked[i] = true
               :: true
               fi
           :: else
           fi;
           i = 0;
           if
           :: ACK_COUNT >= 2 && BOUND - beat_age > lease ->
               lease = BOUND - beat_age
           :: else
           fi;
           sort()
       }

    /* A voter restarts and forgets all. */
    :: atomic {
           restarts < RESTARTS_MAX ->
           restarts++;
           if
           :: i = 0
           :: i = 1
           :: i = 2
           fi;
           heard[i] = LEASE;
           refuses[i] = 0;
#ifndef NO_SILENCE /* a restarted voter speaks at once */
           silent[i] = LEASE;
#endif
           sort()
       }

    /* ctr_tick_unconfirmed(): H asks the store to confirm it anew. */
    :: atomic {
           h_owner && h_step == IDLE && !h_confirmed &&
           version < VERSION_MAX ->
           h_step = SENT;
           h_leased = lease > 0
       }

    /* The store gets H's update. */
    :: atomic {
           h_step == SENT ->
           if
           :: version == h_version ->
               write(HOLDER);
               h_step = DONE
           :: else -> h_step = DOUBT
           fi
       }

    /* ctr_on_write() with RC_OK. */
    :: atomic {
           h_step == DONE ->
           h_step = IDLE;
           h_version++;
#ifdef UNLEASED_CONFIRM /* a write from before the lease counts */
           h_confirmed = lease > 0
#else
           h_confirmed = h_leased && lease > 0;
           h_leased = false
#endif
       }

    /* The reply or the request is lost. */
    :: atomic { h_step == SENT || h_step == DONE -> h_step = DOUBT }

    /* ctr_on_read(), ctr_settle(): H reads the object back. */
    :: atomic {
           h_step == DOUBT ->
           h_step = IDLE;
           if
           :: owner == HOLDER && version == h_version + 1 && h_leased &&
              lease > 0 ->
               h_confirmed = true
           :: else
           fi;
           h_leased = false;
           h_learn()
       }

    /* ctr_on_list(): S reads the object. */
    :: atomic { s_step == IDLE && s_version != version -> s_learn() }

    /* ctr_tick_foreign(), lse_ask(): S asks the cell. */
    :: atomic {
           s_step == IDLE && !asking && !decided && !s_using &&
           s_owner == HOLDER && S_STABLE ->
           asking = true;
           round_age = 0;
           CLEAR(votes)
       }

    /* lse_on_ask(), lse_on_vote(): a voter says "not heard". */
    :: atomic {
           asking ->
           if
           :: i = 0
           :: i = 1
           :: i = 2
           fi;
           if
           :: silent[i] == 0 && !votes[i] && VOTER_WAITED ->
               votes[i] = true;
#ifndef NO_REFUSAL /* a voter goes on accepting beats after its vote */
               refuses[i] = REFUSAL
#endif
           :: else
           fi;
           if
           :: VOTE_COUNT >= MAJORITY -> decided = true
           :: else
           fi;
           sort()
       }

    /* ctr_tick_foreign(): S sends its update, however late. */
    :: atomic {
           decided && s_step == IDLE && version < VERSION_MAX ->
           s_step = SENT;
#ifdef FRESH_VERSION
           s_write_version = version;
#else
           s_write_version = s_version;
#endif
       }

    /* The store gets S's update. */
    :: atomic {
           s_step == SENT ->
           if
           :: version == s_write_version ->
               write(SUCCESSOR);
               s_step = DONE
           :: else -> s_step = DOUBT
           fi
       }

    /* ctr_on_write(). */
    :: atomic {
           s_step == DONE ->
           s_step = IDLE;
           s_write_version = 0;
           s_using = true;
           s_learn()
       }
    /* The reply or the request is lost. */
    :: atomic { s_step == SENT || s_step == DONE -> s_step = DOUBT }

    /* ctr_on_read(), ctr_settle(): S reads the object back. */
    :: atomic {
           s_step == DOUBT ->
           s_step = IDLE;
           s_write_version = 0;
#ifdef NO_READ_BACK /* a lost reply is taken for success */
           s_using = true;
#else
           if
           :: owner == SUCCESSOR -> s_using = true
           :: else
           fi;
#endif
           s_learn()
       }
    od
}
