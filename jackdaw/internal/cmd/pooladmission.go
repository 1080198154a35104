package cmd

import (
	"fmt"
	"io"
	"strings"
	"time"

	"jackdawhinge/common/report"
)

// printPoolAdmission prints which requests pool-wide admission limits, in words.
func printPoolAdmission(out io.Writer, admission *report.PoolAdmission) error {
	if admission == nil {
		return nil
	}
	lines := []string{describeLevelsState(admission)}
	for _, pool := range admission.Pools {
		lines = append(lines, fmt.Sprintf("pool %s is full; refused callers are told to retry after %s or more", pool.Pool, time.Duration(pool.RetryAfter)))
		for _, rank := range pool.Ranks {
			lines = append(lines, describeRank(rank))
		}
		for _, workspace := range pool.Workspaces {
			lines = append(lines, describeWorkspace(workspace))
		}
	}
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return err
}

func describeLevelsState(admission *report.PoolAdmission) string {
	age := time.Duration(admission.Age)
	switch {
	case admission.State == report.LevelsExpired:
		return fmt.Sprintf("pool-wide admission: levels expired, %s old; this host decides by itself", age)
	case admission.State != report.LevelsInForce:
		return "pool-wide admission: the plan has no levels; this host decides by itself"
	case len(admission.Pools) == 0:
		return fmt.Sprintf("pool-wide admission: levels in force, %s old; no pool is full", age)
	}
	return fmt.Sprintf("pool-wide admission: levels in force, %s old", age)
}

func describeRank(r report.LimitedRank) string {
	text := fmt.Sprintf("  rank %d: admitted are %s of usual requests", r.Rank, percent(r.Ratio))
	if r.Share != nil {
		text += fmt.Sprintf(" (up to %.1f/s of a listed workspace)", *r.Share)
	}
	text += fmt.Sprintf(", %s of returning late ones, %s of the excess of surges", percent(r.Late), percent(r.Excess))
	if r.Displaced {
		text += "; more urgent requests come first"
	}
	return text
}

func describeWorkspace(w report.ListedWorkspace) string {
	if w.Excess > 0 {
		return fmt.Sprintf("  workspace %s surges: %s of its requests are excess; of the others, %.1f/s, at least %s are admitted", w.Workspace, percent(w.Excess), w.Rate, percent(w.Ratio))
	}
	return fmt.Sprintf("  workspace %s: %.1f/s, at least %s of them admitted", w.Workspace, w.Rate, percent(w.Ratio))
}

func percent(ratio float64) string { return fmt.Sprintf("%.0f%%", 100*ratio) }
