package quarantine

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func BenchmarkFingerprint(b *testing.B) {
	c := Content{Workspace: "mailroom", Method: http.MethodPost, Host: "a.example", Target: "/digest/1", Body: make([]byte, 12_000)}
	for b.Loop() {
		c.Fingerprint()
	}
}

func TestFingerprintDependsOnContent(t *testing.T) {
	base := Content{Workspace: "mailroom", Method: http.MethodPost, Host: "a.example", Target: "/digest/1", Body: []byte("letter")}
	tests := map[string]struct {
		change func(c *Content)
		equal  bool
	}{
		"copy":                 {func(*Content) {}, true},
		"another workspace":    {func(c *Content) { c.Workspace = "portal" }, false},
		"another method":       {func(c *Content) { c.Method = http.MethodGet }, false},
		"another host":         {func(c *Content) { c.Host = "b.example" }, false},
		"another path":         {func(c *Content) { c.Target = "/digest/2" }, false},
		"another body":         {func(c *Content) { c.Body = []byte("other letter") }, false},
		"field boundary moved": {func(c *Content) { c.Host, c.Target = "a.example/", "digest/1" }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			other := base
			test.change(&other)
			require.Equal(t, test.equal, base.Fingerprint() == other.Fingerprint())
		})
	}
}
