# Reads the plays of two versions, each behind a line "play VERSION DAY SEED", and prints what
# differs: worth by day and by class, mean and spread of the differences over the seeds.

function note(kind, name, value) {
  key = kind SUBSEP name
  if (!(key in known)) {
    known[key] = 1
    order[++count] = key
  }
  figure[key, version, day, seed] = value
}

function report(key, part,    i, j, n, a, b, d, sumA, sumB, sum, squares, split_) {
  for (i = 1; i <= days; i++)
    for (j = 1; j <= seeds; j++) {
      if (part != "" && dayNames[i] != part) continue
      if (!((key, base, dayNames[i], seedNames[j]) in figure)) continue
      if (!((key, new, dayNames[i], seedNames[j]) in figure)) continue
      a = figure[key, base, dayNames[i], seedNames[j]]
      b = figure[key, new, dayNames[i], seedNames[j]]
      d = b - a
      n++; sumA += a; sumB += b; sum += d; squares += d * d
    }
  if (n == 0) return
  split(key, split_, SUBSEP)
  printf "  %-10s %-18s %4d  %6.3f  %6.3f  %+7.4f  %6.4f\n", split_[1], part == "" ? split_[2] : part, n,
    sumA / n, sumB / n, sum / n, sqrt(squares / n - (sum / n) ^ 2 > 0 ? squares / n - (sum / n) ^ 2 : 0)
}

$1 == "play" && NF == 4 {
  version = $2; day = $3; seed = $4
  if (!(day in knownDay)) { knownDay[day] = 1; dayNames[++days] = day }
  if (!(seed in knownSeed)) { knownSeed[seed] = 1; seedNames[++seeds] = seed }
  state = ""
  next
}
$1 == "day" && $2 == "own/srv" { state = "day"; next }
$1 == "class" && $2 == "asked" { state = "class"; next }
state == "day" && $1 == day {
  if ($3 == 0) broken[version] = broken[version] "\n    " day " " seed ": " $0
  note("worth", "all", $4); note("served", "all", $5); note("refused", "all", $6); note("failed", "all", $7)
  state = ""
  next
}
state == "class" && NF == 0 { state = "" }
state == "class" { note("class", $1, $8) }

END {
  printf "%s: %s against %s\n  %-10s %-18s %4s  %6s  %6s  %7s  %6s\n", site, new, base, "figure", "of", "n", "base", "new", "diff", "spread"
  for (i = 1; i <= days; i++) report("worth" SUBSEP "all", dayNames[i])
  for (i = 1; i <= count; i++) report(order[i], "")
  printf "  days that count 0: base%s; new%s\n", broken[base] ? broken[base] : " none", broken[new] ? broken[new] : " none"
}
