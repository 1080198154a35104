package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a sound request that is quarantined because the host that got an answer to it had heard of
// no crash by then.
func TestAnswerBeforeCrashesAreHeardOfClears(t *testing.T) {
	crashed, answered := NewRegistry(), NewRegistry()
	crashed.RecordCrash(at(1), copiesOf(suspectRequest), CrashRecord{Start: 1, Ran: runTime})
	crashed.RecordCrash(at(2), copiesOf(suspectRequest), CrashRecord{Start: 2, Ran: runTime})
	answered.RecordResponse(at(3), copiesOf(suspectRequest))
	told, _ := crashed.Since(at(4), Position{}, 1)
	answered.Merge(at(4), told)
	back, _ := answered.Since(at(4), Position{}, 1)
	crashed.Merge(at(4), back)
	crashed.RecordCrash(at(5), copiesOf(suspectRequest), CrashRecord{Start: 3, Ran: runTime})
	require.False(t, isQuarantined(crashed, at(6), suspectRequest))
}

// Guards against a popular part that is refused before other hosts can tell that they got answers.
func TestPartIsQuarantinedAfterConfirmationDelay(t *testing.T) {
	r, parts := NewRegistry(), PartSubjects("mailroom", []string{"5c"})
	for n := range 4 {
		r.RecordCrash(at(float64(n)), parts, CrashRecord{Start: uint32(n), Ran: runTime})
	}
	_, refused := r.Find(at(3).Add(confirmationDelay-1), parts)
	require.False(t, refused)
	_, refused = r.Find(at(3).Add(confirmationDelay), parts)
	require.True(t, refused)
}
