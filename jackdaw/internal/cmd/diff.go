package cmd

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jackdawhinge/common/register"
	"jackdawhinge/common/targets"
)

// diff returns one text for each entry in which patch differs from doc, with the value in force and
// that of the patch.
func diff(doc targets.Document, patch register.Patch) []string {
	var lines []string
	lines = append(lines, diffKind("classes", doc.Classes, patch.Classes)...)
	lines = append(lines, diffKind("workspaces", doc.Workspaces, patch.Workspaces)...)
	return append(lines, diffKind("models", doc.Models, patch.Models)...)
}

func diffKind[T any](kind string, current map[string]T, patch map[string]*T) []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(patch)) {
		currentValue, patchValue := "absent", "absent"
		if v, ok := current[name]; ok {
			currentValue = encode(v)
		}
		if v := patch[name]; v != nil {
			patchValue = encode(v)
		}
		if currentValue != patchValue {
			lines = append(lines, fmt.Sprintf("%s.%s\n  in force: %s\n  yours:    %s", kind, name, currentValue, patchValue))
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
