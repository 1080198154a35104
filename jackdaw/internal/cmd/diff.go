package cmd

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jackdawhinge/common/register"
	"jackdawhinge/common/targets"
)

// diff returns, for each entry of a patch that differs, what is in force and what the patch says.
func diff(doc targets.Document, patch register.Patch) []string {
	var lines []string
	lines = append(lines, diffKind("classes", doc.Classes, patch.Classes)...)
	lines = append(lines, diffKind("workspaces", doc.Workspaces, patch.Workspaces)...)
	return append(lines, diffKind("models", doc.Models, patch.Models)...)
}

func diffKind[T any](kind string, current map[string]T, patch map[string]*T) []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(patch)) {
		was, is := "absent", "absent"
		if v, ok := current[name]; ok {
			was = encode(v)
		}
		if v := patch[name]; v != nil {
			is = encode(v)
		}
		if was != is {
			lines = append(lines, fmt.Sprintf("%s.%s\n  in force: %s\n  yours:    %s", kind, name, was, is))
		}
	}
	return lines
}

func encode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
