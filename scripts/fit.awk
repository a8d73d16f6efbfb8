# Linear least squares over lines `x y`. Prints `sizes slope intercept r2`, where
# sizes lists the distinct x in input order, joined by commas. Prints
# `none 0 0 0` if there are fewer than two points or all x are equal.
NF >= 2 {
    n += 1
    sx += $1
    sy += $2
    sxx += $1 * $1
    sxy += $1 * $2
    syy += $2 * $2
    if (!($1 in seen)) {
        seen[$1] = 1
        sizes = sizes (sizes == "" ? "" : ",") $1
    }
}
END {
    vx = n * sxx - sx * sx
    vy = n * syy - sy * sy
    if (n < 2 || vx == 0) {
        print "none 0 0 0"
        exit
    }
    slope = (n * sxy - sx * sy) / vx
    intercept = (sy - slope * sx) / n
    r2 = vy == 0 ? 1 : (n * sxy - sx * sy) ^ 2 / (vx * vy)
    printf "%s %.6g %.6g %.4f\n", sizes, slope, intercept, r2
}
