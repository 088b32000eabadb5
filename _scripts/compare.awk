# Reads the outputs of the runs of two versions, each after a line "play VERSION DAY SEED", and
# prints the mean of each figure for both versions, and the mean and standard deviation of their
# differences. The figures are the worth by day and by class, and the totals of each day.

# record stores a figure of the current run.
function record(kind, name, value) {
  key = kind SUBSEP name
  if (!(key in known)) {
    known[key] = 1
    order[++count] = key
  }
  figures[key, version, day, seed] = value
}

# report prints the row of a figure over all runs, or over those of one day if onlyDay is not empty.
function report(key, onlyDay,    i, j, n, a, b, d, sumA, sumB, sum, squares, names) {
  for (i = 1; i <= days; i++)
    for (j = 1; j <= seeds; j++) {
      if (onlyDay != "" && dayNames[i] != onlyDay) continue
      if (!((key, base, dayNames[i], seedNames[j]) in figures)) continue
      if (!((key, new, dayNames[i], seedNames[j]) in figures)) continue
      a = figures[key, base, dayNames[i], seedNames[j]]
      b = figures[key, new, dayNames[i], seedNames[j]]
      d = b - a
      n++; sumA += a; sumB += b; sum += d; squares += d * d
    }
  if (n == 0) return
  split(key, names, SUBSEP)
  printf "  %-10s %-18s %4d  %6.3f  %6.3f  %+7.4f  %6.4f\n", names[1], onlyDay == "" ? names[2] : onlyDay, n,
    sumA / n, sumB / n, sum / n, sqrt(squares / n - (sum / n) ^ 2 > 0 ? squares / n - (sum / n) ^ 2 : 0)
}

$1 == "play" && NF == 4 {
  version = $2; day = $3; seed = $4
  if (!(day in knownDay)) { knownDay[day] = 1; dayNames[++days] = day }
  if (!(seed in knownSeed)) { knownSeed[seed] = 1; seedNames[++seeds] = seed }
  section = ""
  next
}
$1 == "day" && $2 == "own/srv" { section = "day"; next }
$1 == "class" && $2 == "asked" { section = "class"; next }
section == "day" && $1 == day {
  if ($3 == 0) zeroDays[version] = zeroDays[version] "\n    " day " " seed ": " $0
  record("worth", "all", $4); record("served", "all", $5); record("refused", "all", $6); record("failed", "all", $7)
  section = ""
  next
}
section == "class" && NF == 0 { section = "" }
section == "class" { record("class", $1, $8) }

END {
  printf "%s: %s against %s\n  %-10s %-18s %4s  %6s  %6s  %7s  %6s\n", site, new, base, "figure", "of", "n", "base", "new", "diff", "spread"
  for (i = 1; i <= days; i++) report("worth" SUBSEP "all", dayNames[i])
  for (i = 1; i <= count; i++) report(order[i], "")
  printf "  days that count 0: base%s; new%s\n", zeroDays[base] ? zeroDays[base] : " none", zeroDays[new] ? zeroDays[new] : " none"
}
