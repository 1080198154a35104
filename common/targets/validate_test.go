package targets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateReturnsInvalidField(t *testing.T) {
	validClass := Class{FirstTokenWithin: Duration(time.Second), Share: 0.5, Urgency: Normal}
	tests := map[string]struct {
		doc   Document
		field string
	}{
		"missing latency target": {Document{Classes: map[string]Class{"portal": {Share: 0.1, Urgency: Normal}}}, "classes.portal.first-token-within"},
		"share over 1":           {Document{Classes: map[string]Class{"portal": {FirstTokenWithin: 1, Share: 1.1, Urgency: Normal}}}, "classes.portal.share"},
		"unknown urgency":        {Document{Classes: map[string]Class{"portal": {FirstTokenWithin: 1, Urgency: "soon"}}}, "classes.portal.urgency"},
		"sum of shares over 1":   {Document{Classes: map[string]Class{"a": validClass, "b": validClass, "c": validClass}}, "classes"},
		"missing token hash":     {Document{Workspaces: map[string]Workspace{"mailroom": {}}}, "workspaces.mailroom.token-sha256"},
		"unknown class":          {Document{Workspaces: map[string]Workspace{"mailroom": {TokenSHA256: HashToken("x"), Classes: []string{"portal"}}}}, "workspaces.mailroom.classes"},
		"unknown kind":           {Document{Models: map[string]Model{"reader": {Kind: "robot"}}}, "models.reader.kind"},
		"load multiple too low":  {Document{Models: map[string]Model{"reader": {Kind: Engine, LoadMultiple: 0.5}}}, "models.reader.load-multiple"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var fieldErr *FieldError
			require.ErrorAs(t, test.doc.Validate(), &fieldErr)
			require.Equal(t, test.field, fieldErr.Field)
		})
	}
	require.NoError(t, Document{Classes: map[string]Class{"portal": validClass}}.Validate())
}
