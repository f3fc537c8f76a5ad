#!/usr/bin/env bash
# Plots the output of pierbank-replay as grouped bar charts, one image for each measure:
#     bench/plots/plot.sh FILE FOLDER
# Needs gnuplot (Debian package gnuplot-nox).
set -euo pipefail
lines=${1:?the file with the output of pierbank-replay}
out=${2:?the folder for the images}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# plot NAME COLUMN TITLE HOW: plots a column of FILE, by HOW as the mean or the maximum over the seeds.
plot() {
    awk -F'\t' -v column="$2" -v how="$4" '
        $1 == "workload" || NF < 16 { next }
        {
            key = $1 SUBSEP $3
            if (!($1 in seen)) { seen[$1] = 1; order[++n] = $1 }
            sum[key] += $column; count[key]++
            if ($column > most[key]) most[key] = $column
        }
        END {
            print "workload pierbank first-fit-fifo best-fit static-partitions"
            for (i = 1; i <= n; i++) {
                line = order[i]
                split("pierbank first-fit-fifo best-fit static-partitions", policies, " ")
                for (p = 1; p <= 4; p++) {
                    key = order[i] SUBSEP policies[p]
                    line = line " " (how == "max" ? most[key] + 0 : sum[key] / count[key])
                }
                print line
            }
        }' "$lines" >"$work/$1.dat"
    gnuplot <<PLOT
set terminal pngcairo size 900,420 font "sans,10"
set output "$out/$1.png"
set title "$3"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set key autotitle columnheader outside
set xtics rotate by -25
set yrange [0:*]
set grid ytics
plot "$work/$1.dat" using 2:xtic(1), '' using 3, '' using 4, '' using 5
PLOT
}

plot completion 4 "Mean completion time, hours (static partitions leave out what they never run)" mean
plot slowdown 6 "Mean slowdown" mean
plot large-wait 8 "Longest wait of a large job, hours" max
plot fragmentation 9 "Fragmentation" mean
plot jain 12 "Jain's index across organisations" mean
