package setting

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// OptionalDuration is a duration that keeps its default if the value is empty or only a unit: the
// platform fills a gap of the form that has no value with nothing.
type OptionalDuration time.Duration

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (d *OptionalDuration) UnmarshalYAML(data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	switch text {
	case "", "null", "~", "ms", "s":
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errorx.IllegalFormat.New("%.40q is no duration", text)
	}
	*d = OptionalDuration(v)
	return nil
}
