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

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

// printTable writes rows in aligned columns. Cells are never coloured, so that the output is the same in a pipe.
func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return errors.Wrap(table.Flush(), "write table")
}

// flatten returns the leaves of a JSON document by path.
func flatten(raw []byte) (map[string]string, error) {
	var document any
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, errors.Wrap(err, "decode object")
	}
	leaves := map[string]string{}
	flattenInto(leaves, "", document)
	return leaves, nil
}

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

// change is one field that differs between two versions of an object.
type change struct {
	Field   string `json:"field"`
	Present string `json:"present"` // in the object API, "-" if absent
	Yours   string `json:"yours"`   // in the refused write, "-" if absent
}

// diff lists the fields in which two JSON documents differ, sorted by path. An empty document has no fields.
func diff(present, yours []byte) ([]change, error) {
	sides := [2]map[string]string{}
	for i, raw := range [][]byte{present, yours} {
		if len(raw) == 0 {
			continue
		}
		leaves, err := flatten(raw)
		if err != nil {
			return nil, err
		}
		sides[i] = leaves
	}
	paths := map[string]bool{}
	for _, side := range sides {
		for path := range side {
			paths[path] = true
		}
	}
	changes := []change{}
	for path := range paths {
		a, inA := sides[0][path]
		b, inB := sides[1][path]
		if inA != inB || a != b {
			changes = append(changes, change{Field: path, Present: orDash(a, inA), Yours: orDash(b, inB)})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes, nil
}

func orDash(value string, present bool) string {
	if !present {
		return "-"
	}
	return value
}
