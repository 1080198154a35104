package relay

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// Guards against a caller that is cut off in the middle of a write that takes longer than the write timeout, although
// it reads all the time. Kernels let a write wait until a third of their buffer of several megabytes is free.
func TestCallerThatReadsSlowlyGetsWholeResponse(t *testing.T) {
	const rate, size = 1000, 11_500
	for name, readAhead := range map[string]int64{"read as callers read": 0, "read ahead": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
				if readAhead > 0 {
					f.enableReadAhead(readAhead)
				}
				start := time.Now()
				f.handler.acknowledged = func(context.Context) uint64 { return uint64(rate * int(time.Since(start).Seconds())) }
				whole := f.respondInBulk(1, size, 0)
				req, err := standin.Caller{Address: listenAddress, Host: "a.example", Key: "key-1", Timeout: time.Minute}.Stream(t.Context(), "/sort/x", "1", "bb", 1)
				require.NoError(t, err)
				resp := f.open(req)
				var got bytes.Buffer
				for err == nil {
					_, err = io.CopyN(&got, resp.Body, rate)
					time.Sleep(time.Second)
				}
				require.Equal(t, io.EOF, err)
				require.Equal(t, whole, got.String())
			})
		})
	}
}
