/*
 * The rules of section 6 of docs/design.md for changes of a cell: version 2
 * adds machine 3 to version 1, version 3, which machine 3 proposes, removes one
 * of the others. Machines learn versions from the store or from peers,
 * acknowledge beats, and one of the others restarts once. The assertion: while
 * a majority of version 1 may keep up a lease, no majority of version 3 without
 * any of them can vote.
 *
 * Each rule can be left out with a macro; then spin must find a violation.
 */

#define MACHINES 4
#define LEASE 2
#define BOUND 1
#define FRESH 1
#define NEVER 7
#define RESTARTS_MAX 1

/* Members of versions 1 and 2, as bits. */
#define FIRST 7
#define SECOND 15

byte restarts = 0;
byte store = 2;
byte m3 = 0;             /* members of version 3, once it is decided */
byte adopted[MACHINES];  /* version, 0 after a restart */
byte silent[MACHINES];   /* ticks left in which it acknowledges nothing */
byte stated[MACHINES];   /* version that peers state to a restarted one */
byte stating[MACHINES];  /* which peers */
byte lease[MACHINES];    /* ticks since it acknowledged a beat of version 1 */
/* What machine 3, which proposes version 3, knows of the others. */
byte known[MACHINES];    /* ticks for which they have had version 2 */
bool is_new[MACHINES];   /* restarted since its newest acknowledgement */
byte answered[MACHINES]; /* ticks since the newest acknowledgement */

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + \
                  (((m) >> 3) & 1))
#define MAJORITY(m) (COUNT(m) / 2 + 1)
#define MEMBERS(v) (v == 1 -> FIRST : (v == 2 -> SECOND : m3))

#ifdef NO_LEASE_WAIT /* the next change follows the adoption at once */
#define HAS_HAD(i) (known[i] != NEVER)
#else
#define HAS_HAD(i) (known[i] != NEVER && known[i] >= LEASE)
#endif
#ifdef STALE_ADOPTION /* a member counts although it may have restarted */
#define IS_ANSWERED(i) true
#else
#define IS_ANSWERED(i) (answered[i] <= FRESH)
#endif
#define COUNTS(i) (HAS_HAD(i) && IS_ANSWERED(i) -> BIT(i) : 0)
#define ADOPTERS (COUNTS(0) | COUNTS(1) | COUNTS(2) | \
                  (known[3] >= LEASE && known[3] != NEVER -> 8 : 0))

#ifdef ONE_PEER /* a restarted machine adopts what one peer states */
#define ENOUGH(i) (stating[i] != 0)
#else
#define ENOUGH(i) (COUNT(stating[i] & MEMBERS(stated[i])) >= \
                   MAJORITY(MEMBERS(stated[i])))
#endif

/* Who may keep up a lease of version 1, and who can vote in version 3. */
#define LEASED(i) (lease[i] < BOUND -> BIT(i) : 0)
#define HEARERS (LEASED(0) | LEASED(1) | LEASED(2))
#define VOTES(i) (adopted[i] != 0 && silent[i] == 0 -> BIT(i) : 0)
#define VOTERS ((VOTES(0) | VOTES(1) | VOTES(2) | VOTES(3)) & m3 & ~(HEARERS))
#define ASKS(i) (adopted[i] == 3 && (m3 & BIT(i)) != 0)

#define SOME(i) if :: i = 0 :: i = 1 :: i = 2 :: i = 3 fi

inline tick()
{
    d_step {
        i = 0;
        do
        :: i < MACHINES ->
            if
            :: silent[i] > 0 -> silent[i]--
            :: else
            fi;
            if
            :: lease[i] < BOUND -> lease[i]++
            :: else
            fi;
            if
            :: known[i] < LEASE -> known[i]++
            :: else
            fi;
            if
            :: answered[i] <= FRESH -> answered[i]++
            :: else
            fi;
            i++
        :: else -> break
        od;
        i = 0
    }
}

inline adopt(who, version)
{
    adopted[who] = version;
    stated[who] = 0;
    stating[who] = 0
}

active proctype cell()
{
    byte i = 0;
    byte j = 0;

    d_step {
        adopted[0] = 1; adopted[1] = 1; adopted[2] = 1; adopted[3] = 2;
        lease[0] = BOUND; lease[1] = BOUND; lease[2] = BOUND;
        lease[3] = BOUND;
        known[0] = NEVER; known[1] = NEVER; known[2] = NEVER;
        answered[0] = FRESH + 1; answered[1] = FRESH + 1;
        answered[2] = FRESH + 1
    }
    do
    :: m3 != 0 && store == 3 && COUNT(HEARERS) >= MAJORITY(FIRST) &&
       COUNT(VOTERS) >= MAJORITY(m3) &&
       (ASKS(0) || ASKS(1) || ASKS(2) || ASKS(3)) -> assert(false)

    :: tick()

    /* A machine reads the object. */
    :: atomic {
           SOME(i);
           if
           :: adopted[i] < store -> adopt(i, store)
           :: else
           fi;
           i = 0
       }

    /* lse_on_cell(): a machine hears of a peer's version. */
    :: atomic {
           SOME(i); SOME(j);
           if
           :: i != j && adopted[i] != 0 && adopted[j] > adopted[i] ->
               adopt(i, adopted[j])
           :: i != j && adopted[i] == 0 && adopted[j] > stated[i] ->
               stated[i] = adopted[j];
               stating[i] = BIT(j)
           :: i != j && adopted[i] == 0 && adopted[j] != 0 &&
              adopted[j] == stated[i] ->
               stating[i] = stating[i] | BIT(j)
           :: else
           fi;
           if
           :: adopted[i] == 0 && stated[i] != 0 && ENOUGH(i) ->
               adopt(i, stated[i])
           :: else
           fi;
           i = 0; j = 0
       }

    /* lse_on_beat(): a member acknowledges a beat of version 1. */
    :: atomic {
           SOME(i);
           if
           :: adopted[i] == 1 && silent[i] == 0 && lease[i] != 0 ->
               lease[i] = 0
           :: else
           fi;
           i = 0
       }

    /* lse_on_ack(): the proposer hears that a member has version 2. */
    :: atomic {
           adopted[3] == 2 ->
           if
           :: i = 0
           :: i = 1
           :: i = 2
           fi;
           if
           :: adopted[i] == 2 && silent[i] == 0 ->
               answered[i] = 0;
               if
#ifdef SAME_START /* the adoption of the former process counts */
               :: known[i] == NEVER -> known[i] = 0
#else
               :: known[i] == NEVER || is_new[i] -> known[i] = 0
#endif
               :: else
               fi;
               is_new[i] = false
           :: else
           fi;
           i = 0
       }

    /* lse_cell_may_change(): the proposer sends its update. */
    :: atomic {
           m3 == 0 && adopted[3] == 2 && COUNT(ADOPTERS) >= MAJORITY(SECOND) ->
           if
           :: m3 = SECOND - 1
           :: m3 = SECOND - 2
           :: m3 = SECOND - 4
           fi
       }

    /* The store gets the update, however late. */
    :: atomic { m3 != 0 && store == 2 -> store = 3 }

    /* A machine other than the proposer restarts and forgets all. */
    :: atomic {
           restarts < RESTARTS_MAX ->
           restarts++;
           if
           :: i = 0
           :: i = 1
           :: i = 2
           fi;
           adopted[i] = 0;
           is_new[i] = true;
           silent[i] = LEASE;
           stated[i] = 0;
           stating[i] = 0;
           i = 0
       }
    od
}
