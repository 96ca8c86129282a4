package objectapi

import (
	"encoding/json"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/rawjson"
)

// decodeResponse decodes the body of a response into out. An object in a listing or a watch that cannot be decoded gets an
// Err; the others hold.
func decodeResponse(raw []byte, out any) error {
	switch out := out.(type) {
	case *Listing:
		return out.decode(raw)
	case *Changes:
		return out.decode(raw)
	}
	return json.Unmarshal(raw, out)
}

func (l *Listing) decode(raw []byte) error {
	fields, objects, err := rawjson.SplitList(raw, "objects")
	if err != nil {
		return err
	}
	for _, o := range objects {
		l.Objects = append(l.Objects, decodeObject(o))
	}
	return rawjson.DecodeField(fields, "revision", &l.Revision)
}

// decode decodes the response to a watch. If it is not readable which object has changed, the objects must be listed again.
func (c *Changes) decode(raw []byte) error {
	fields, events, err := rawjson.SplitList(raw, "events")
	if err != nil {
		return err
	}
	for _, event := range events {
		parts, _ := rawjson.Fields(event) // nil if it cannot be split: its object then has no key
		e := Event{Object: decodeObject(parts["object"])}
		if e.Object.Key == "" || rawjson.DecodeField(parts, "deleted", &e.Deleted) != nil {
			*c = Changes{Reset: true}
			return nil
		}
		c.Events = append(c.Events, e)
	}
	if err := rawjson.DecodeField(fields, "reset", &c.Reset); err != nil {
		return err
	}
	return rawjson.DecodeField(fields, "revision", &c.Revision)
}

// decodeObject decodes one object. Its key is empty if that is not readable.
func decodeObject(raw []byte) Object {
	var o Object
	err := json.Unmarshal(raw, &o)
	switch {
	case err == nil && o.Key != "":
		return o
	case err == nil:
		err = errors.New("object has no key")
	}
	unreadable := Object{Err: errors.Errorf("decode object: %.200s", err.Error())}
	fields, _ := rawjson.Fields(raw) // nil if it cannot be split
	if json.Unmarshal(fields["key"], &unreadable.Key) != nil {
		unreadable.Key = ""
	}
	return unreadable
}
