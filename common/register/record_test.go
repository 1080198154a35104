package register

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a record that is taken for valid although something follows it, as after two writes
// into one record.
func TestDecodeStrictRejectsTrailingData(t *testing.T) {
	for name, test := range map[string]struct {
		data  string
		valid bool
	}{
		"one value":       {`{"a":1}`, true},
		"trailing space":  {"{\"a\":1}\n ", true},
		"another value":   {`{"a":1}{"a":2}`, false},
		"closing brace":   {`{"a":1}}`, false},
		"closing bracket": {`{"a":1}]`, false},
		"unknown field":   {`{"b":1}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			var v struct {
				A int `json:"a"`
			}
			err := DecodeStrict([]byte(test.data), &v)
			require.Equal(t, test.valid, err == nil)
		})
	}
}
