package command

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// printJSON writes value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

// printTable writes a header and rows in aligned columns. It uses no colours, so that the output to a pipe is the same as
// to a terminal.
func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return errors.Wrap(table.Flush(), "write table")
}

// flatten returns the leaf values of a JSON document by path, for example "organisation.tokenSHA256[0]".
func flatten(raw []byte) (map[string]string, error) {
	var document any
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, errors.Wrap(err, "decode object")
	}
	leaves := map[string]string{}
	flattenInto(leaves, "", document)
	return leaves, nil
}

// flattenInto adds the leaf values below path to leaves.
func flattenInto(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			flattenInto(leaves, strings.TrimPrefix(path+"."+name, "."), field)
		}
	case []any:
		for i, item := range v {
			flattenInto(leaves, fmt.Sprintf("%s[%d]", path, i), item)
		}
	case string:
		leaves[path] = v
	default:
		text, _ := json.Marshal(v)
		leaves[path] = string(text)
	}
}

// fieldChange is a field that differs between the stored object and the one in a rejected write.
type fieldChange struct {
	Field     string `json:"field"`
	Current   string `json:"present"` // value in the object API, "-" if absent
	Requested string `json:"yours"`   // value in the rejected write, "-" if absent
}

// diffFields returns the leaf fields in which two JSON documents differ, sorted by path. A document of length 0 has no
// fields.
func diffFields(current, requested []byte) ([]fieldChange, error) {
	leavesByDocument := [2]map[string]string{}
	for i, document := range [][]byte{current, requested} {
		if len(document) == 0 {
			continue
		}
		leaves, err := flatten(document)
		if err != nil {
			return nil, err
		}
		leavesByDocument[i] = leaves
	}
	paths := map[string]bool{}
	for _, leaves := range leavesByDocument {
		for path := range leaves {
			paths[path] = true
		}
	}
	changes := []fieldChange{}
	for path := range paths {
		currentValue, isInCurrent := leavesByDocument[0][path]
		requestedValue, isInRequested := leavesByDocument[1][path]
		if isInCurrent != isInRequested || currentValue != requestedValue {
			changes = append(changes, fieldChange{Field: path, Current: valueOrDash(currentValue, isInCurrent), Requested: valueOrDash(requestedValue, isInRequested)})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes, nil
}

// valueOrDash returns value, or "-" if it is not present.
func valueOrDash(value string, isPresent bool) string {
	if !isPresent {
		return "-"
	}
	return value
}
