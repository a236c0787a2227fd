package thrift

import (
	"bytes"
	"errors"
	"testing"
)

func payload(t *testing.T, frame []byte) []byte {
	t.Helper()
	p, rest, err := Frame(frame)
	if err != nil || p == nil || len(rest) != 0 {
		t.Fatalf("frame %x: payload %x, rest %x, error %v", frame, p, rest, err)
	}
	return p
}

func TestRoundTrip(t *testing.T) {
	frame := AppendFrame(nil, func(b []byte) []byte {
		b = AppendHeader(b, Header{Type: Call, Name: "serve", Seq: 7})
		b = AppendStringMap(AppendField(b, Map, 1), [][2]string{{"a", "1"}, {"b", ""}})
		return AppendStop(AppendString(AppendField(b, String, 2), []byte{0, 255}))
	})
	for cut := range frame { // an incomplete frame
		if p, rest, err := Frame(frame[:cut]); p != nil || err != nil || len(rest) != cut {
			t.Fatalf("cut at %d: payload %x, error %v", cut, p, err)
		}
	}
	r := NewReader(payload(t, frame))
	if h := r.Header(); h != (Header{Call, "serve", 7}) {
		t.Errorf("header %+v", h)
	}
	if ft, id := r.Field(); ft != Map || id != 1 {
		t.Errorf("field %d %d", ft, id)
	}
	if m := r.StringMap(); len(m) != 2 || m["a"] != "1" {
		t.Errorf("map %v", m)
	}
	if ft, id := r.Field(); ft != String || id != 2 || !bytes.Equal(r.Binary(), []byte{0, 255}) {
		t.Errorf("field %d %d", ft, id)
	}
	if ft, _ := r.Field(); ft != Stop || r.Err() != nil || r.Len() != 0 {
		t.Errorf("end %d, error %v, %d bytes left", ft, r.Err(), r.Len())
	}
}

func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := AppendField(nil, Struct, 9)
	b = AppendStop(AppendBool(AppendField(b, Bool, 1), true))
	b = append(AppendField(b, List, 10), byte(I32), 0, 0, 0, 1, 0, 0, 0, 5)
	b = append(AppendField(b, Map, 11), byte(Byte), byte(I64), 0, 0, 0, 1, 3, 0, 0, 0, 0, 0, 0, 0, 1)
	b = AppendI32(AppendField(b, I32, 12), 77)
	r := NewReader(b)
	for want := int16(9); want < 12; want++ {
		ft, id := r.Field()
		if r.Skip(ft); id != want {
			t.Fatalf("skipped field %d, want %d", id, want)
		}
	}
	if _, id := r.Field(); id != 12 || r.I32() != 77 || r.Err() != nil {
		t.Errorf("after the skipped fields: field %d, error %v", id, r.Err())
	}
}

func TestOutOfBoundsInputIsRejected(t *testing.T) {
	deep := bytes.Repeat([]byte{byte(Struct), 0, 1}, MaxNesting+2)
	for name, read := range map[string]func() error{
		"frame too long":      func() error { _, _, err := Frame([]byte{0x7f, 0, 0, 0}); return err },
		"empty frame":         func() error { _, _, err := Frame([]byte{0, 0, 0, 0}); return err },
		"unsupported version": func() error { r := NewReader([]byte{0, 0, 0, 1, 'x'}); r.Header(); return r.Err() },
		"negative string":     func() error { r := NewReader([]byte{255, 255, 255, 255}); r.Binary(); return r.Err() },
		"huge list": func() error {
			r := NewReader([]byte{byte(Bool), 0x7f, 255, 255, 255})
			r.Skip(List)
			return r.Err()
		},
		"map of more entries than bytes": func() error {
			r := NewReader(append([]byte{11, 11, 0, 0, 1, 0}, make([]byte, minEntry*255)...))
			r.StringMap()
			return r.Err()
		},
		"map of integers": func() error { r := NewReader([]byte{8, 8, 0, 0, 0, 1}); r.StringMap(); return r.Err() },
		"nested too deep": func() error { r := NewReader(deep); r.Skip(Struct); return r.Err() },
		"unknown type":    func() error { r := NewReader(nil); r.Skip(99); return r.Err() },
	} {
		if err := read(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func FuzzMessage(f *testing.F) {
	f.Add(AppendFrame(nil, func(b []byte) []byte {
		return AppendException(b, Header{Name: "x", Seq: 1}, InternalError, "why")
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, _, err := Frame(data)
		if err != nil || p == nil {
			return
		}
		r := NewReader(p)
		r.Header()
		for {
			ft, _ := r.Field()
			if ft == Stop {
				break
			}
			r.Skip(ft)
		}
		if r.Err() != nil && !errors.Is(r.Err(), ErrMalformed) {
			t.Errorf("error %v", r.Err())
		}
	})
}
