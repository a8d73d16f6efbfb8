#include "gateway/position.h"

int
position_compare(struct position left, struct position right)
{
    if (left.era != right.era) {
        return left.era < right.era ? -1 : 1;
    }
    if (left.revision != right.revision) {
        return left.revision < right.revision ? -1 : 1;
    }
    return 0;
}

bool
position_is_after(struct position position, struct position other)
{
    return position_compare(position, other) > 0;
}
