package targets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateNamesField(t *testing.T) {
	good := Class{FirstTokenWithin: Duration(time.Second), Share: 0.5, Urgency: Normal}
	tests := map[string]struct {
		doc   Document
		field string
	}{
		"no target":           {Document{Classes: map[string]Class{"portal": {Share: 0.1, Urgency: Normal}}}, "classes.portal.first-token-within"},
		"share over 1":        {Document{Classes: map[string]Class{"portal": {FirstTokenWithin: 1, Share: 1.1, Urgency: Normal}}}, "classes.portal.share"},
		"unknown urgency":     {Document{Classes: map[string]Class{"portal": {FirstTokenWithin: 1, Urgency: "soon"}}}, "classes.portal.urgency"},
		"shares over 1":       {Document{Classes: map[string]Class{"a": good, "b": good, "c": good}}, "classes"},
		"no token hash":       {Document{Workspaces: map[string]Workspace{"mailroom": {}}}, "workspaces.mailroom.token-sha256"},
		"class that is not":   {Document{Workspaces: map[string]Workspace{"mailroom": {TokenSHA256: HashToken("x"), Classes: []string{"portal"}}}}, "workspaces.mailroom.classes"},
		"unknown kind":        {Document{Models: map[string]Model{"reader": {Kind: "robot"}}}, "models.reader.kind"},
		"multiple of nothing": {Document{Models: map[string]Model{"reader": {Kind: Engine, LoadMultiple: 0.5}}}, "models.reader.load-multiple"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var field *FieldError
			require.ErrorAs(t, test.doc.Validate(), &field)
			require.Equal(t, test.field, field.Field)
		})
	}
	require.NoError(t, Document{Classes: map[string]Class{"portal": good}}.Validate())
}
