package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{"name":"entry-1","failure-domain":"r/a",
	"listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2","control":"127.0.0.1:3","admin":"127.0.0.1:4"},
	"log-service":"http://127.0.0.1:5","host-list":"http://127.0.0.1:5/hosts","fleet-secret":"0123456789abcdef"}`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, new  string
		wantField string
	}{
		"valid":                  {},
		"no name":                {`"entry-1"`, `""`, "name"},
		"no failure domain":      {`"r/a"`, `""`, "failure-domain"},
		"host name as address":   {`127.0.0.1:2`, `localhost:2`, "listen.peers"},
		"address without port":   {`127.0.0.1:4`, `127.0.0.1`, "listen.admin"},
		"URL without scheme":     {`http://127.0.0.1:5"`, `127.0.0.1:5"`, "log-service"},
		"short secret":           {`0123456789abcdef`, `0123`, "fleet-secret"},
		"short second secret":    {`{"name"`, `{"also-accept-secret":"0123","name"`, "also-accept-secret"},
		"unknown key":            {`{"name"`, `{"colour":1,"name"`, "colour"},
		"invalid duration":       {`{"name"`, `{"stop-within":"soon","name"`, "soon"},
		"unready for whole stop": {`{"name"`, `{"stop-within":"5s","unready-for":"5s","name"`, "unready-for"},
		"unknown log format":     {`{"name"`, `{"logs":{"format":"xml"},"name"`, "logs.format"},
		"trace share above 1":    {`{"name"`, `{"traces":{"share":2},"name"`, "traces.share"},
		"data after the end":     {`abcdef"}`, `abcdef"} {`, "after the end"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if test.wantField == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.wantField)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			require.NotEmpty(t, s.Name)
		}
	})
}
