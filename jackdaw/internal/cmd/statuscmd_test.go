package cmd

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/report"
)

// Operators must see that a model's upstreams have several software versions, since its streams are
// then resumed only at their own.
func TestStatusShowsSeveralSoftwareVersions(t *testing.T) {
	upstream := func(model, version string) report.Upstream {
		return report.Upstream{Model: model, SoftwareVersion: version}
	}
	var out bytes.Buffer
	require.NoError(t, printSoftware(&out, []report.Upstream{upstream("reader", "v2"), upstream("mailbox", "v7"), upstream("reader", "v1"), upstream("reader", "v2")}))
	require.Equal(t, "reader runs several software versions: v1 (1), v2 (2); streams are resumed only at their own\n", out.String())
}
