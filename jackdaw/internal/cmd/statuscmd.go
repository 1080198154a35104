package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/wire"
)

const queryTimeout = 5 * time.Second

// maxAnswerBytes bounds the answer to a query.
const maxAnswerBytes = 64 << 20

func newStatusCmd(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the upstreams, their load, and how old this host's knowledge is",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status report.Status
			if err := g.query(cmd.Context(), report.StatusPath, nil, &status); err != nil {
				return err
			}
			return g.print(cmd.OutOrStdout(), status, func(w io.Writer) error {
				if _, err := fmt.Fprintf(w, "host %s  ready %t  revision %d  host list %s old  %d entry hosts  %d chats moved\n",
					status.Host, status.Ready, status.Revision, time.Duration(status.ListAge), len(status.EntryHosts), status.MovedChats); err != nil {
					return err
				}
				if _, err := fmt.Fprintf(w, "ledger: %d claim streams followed, %d read, %d keys known\n",
					status.Ledger.StreamsFollowed, status.Ledger.StreamsRead, status.Ledger.Keys); err != nil {
					return err
				}
				if err := printStoreEra(w, status.StoreEra); err != nil {
					return err
				}
				if err := printEvacuations(w, status.Evacuations); err != nil {
					return err
				}
				if err := printPoolAdmission(w, status.PoolAdmission); err != nil {
					return err
				}
				if err := printSoftware(w, status.Upstreams); err != nil {
					return err
				}
				if err := printClasses(w, status.Classes); err != nil {
					return err
				}
				if err := printUpstreams(w, status.Upstreams); err != nil {
					return err
				}
				return printQuarantined(w, status.Quarantined)
			})
		},
	}
}

func newExplainCmd(g *globalFlags) *cobra.Command {
	var workspace, chat, model string
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show where a chat would go and why, candidate by candidate",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var explanation report.Explanation
			query := url.Values{"workspace": {workspace}, "chat": {chat}, "model": {model}}
			if err := g.query(cmd.Context(), report.ExplainPath, query, &explanation); err != nil {
				return err
			}
			return g.print(cmd.OutOrStdout(), explanation, func(w io.Writer) error {
				if _, err := fmt.Fprintf(w, "best first; none may carry more than %.2f times the mean load\n", explanation.LoadMultiple); err != nil {
					return err
				}
				return printUpstreams(w, explanation.Candidates)
			})
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "the chat's workspace")
	cmd.Flags().StringVar(&chat, "chat", "", "the chat")
	cmd.Flags().StringVar(&model, "model", "", "the model that the chat uses")
	return cmd
}

func printClasses(out io.Writer, classes []report.Class) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "CLASS\tTARGET\tFIRST TOKEN P95\tANSWERED\tLATE\tREFUSED"); err != nil {
		return err
	}
	for _, c := range classes {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", c.Name, time.Duration(c.Target), time.Duration(c.FirstTokenP95), c.Answered, c.LateResponses, c.Refused); err != nil {
			return err
		}
	}
	return w.Flush()
}

func printUpstreams(out io.Writer, upstreams []report.Upstream) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "UPSTREAM\tMODEL\tDOMAIN\tOWNER\tLOAD\tMEAN\tWAITING\tLIMIT"); err != nil {
		return err
	}
	for _, u := range upstreams {
		load := "unknown"
		if u.LoadKnown {
			load = fmt.Sprint(u.Load)
		}
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f\t%d\t%d\n", u.Name, u.Model, u.FailureDomain, u.Owner, load, u.MeanLoad, u.Waiting, u.Limit); err != nil {
			return err
		}
	}
	return w.Flush()
}

// printSoftware prints the software versions of models whose upstreams have several.
func printSoftware(out io.Writer, upstreams []report.Upstream) error {
	counts := map[string]map[string]int{}
	for _, u := range upstreams {
		if counts[u.Model] == nil {
			counts[u.Model] = map[string]int{}
		}
		counts[u.Model][u.SoftwareVersion]++
	}
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		if len(counts[model]) < 2 {
			continue
		}
		var versions []string
		for _, version := range slices.Sorted(maps.Keys(counts[model])) {
			versions = append(versions, fmt.Sprintf("%s (%d)", version, counts[model][version]))
		}
		if _, err := fmt.Fprintf(out, "%s runs several software versions: %s; streams are resumed only at their own\n", model, strings.Join(versions, ", ")); err != nil {
			return err
		}
	}
	return nil
}

func printStoreEra(out io.Writer, era int64) error {
	if era == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "store: came back from an older copy %d times\n", era)
	return err
}

func printEvacuations(out io.Writer, evacuations []report.Evacuation) error {
	for _, e := range evacuations {
		if _, err := fmt.Fprintf(out, "failure domain %s is evacuated by record %d, known for %s: its upstreams get no new requests\n", e.FailureDomain, e.Record, time.Duration(e.Known)); err != nil {
			return err
		}
	}
	return nil
}

func printQuarantined(out io.Writer, requests []report.QuarantinedRequest) error {
	for _, r := range requests {
		if _, err := fmt.Fprintf(out, "%s is refused for %s: %d upstreams crashed under it\n", quarantinedName(r), time.Duration(r.Remaining), r.Crashes); err != nil {
			return err
		}
	}
	return nil
}

// quarantinedName names what quarantined requests have in common.
func quarantinedName(r report.QuarantinedRequest) string {
	switch {
	case r.Part == "":
		return "request " + r.Fingerprint
	case r.Workspace == "":
		return fmt.Sprintf("part %s of prompts (%s)", r.Part, r.Fingerprint)
	default:
		return fmt.Sprintf("part %s of prompts of workspace %s (%s)", r.Part, r.Workspace, r.Fingerprint)
	}
}

// query sends a query to the admin interface of the host in the settings and decodes the JSON
// response into result.
func (g *globalFlags) query(ctx context.Context, path string, params url.Values, result any) error {
	s, err := g.loadSettings()
	if err != nil {
		return err
	}
	if s.Host == "" {
		return fmt.Errorf("read settings %s: %w", g.settingsPath, &targets.FieldError{Field: "host", Problem: "is missing"})
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Host+path+"?"+params.Encode(), http.NoBody)
	if err != nil {
		return fmt.Errorf("query host %s: %w", s.Host, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("query host %s: %w", s.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := wire.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("query host %s: %w", s.Host, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("query host %s: status %d: %s", s.Host, resp.StatusCode, body)
	}
	return json.Unmarshal(body, result)
}
