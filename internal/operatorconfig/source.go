package operatorconfig

// Source names the operator's keys in the store and decodes their values.
type Source interface {
	// Prefix covers all of the operator's keys.
	Prefix() string
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey() string
	// ZoneKey is the key that exists while the zone is out of service.
	ZoneKey(zone string) string
	// ZoneOf returns the zone of a ZoneKey.
	ZoneOf(key string) (zone string, ok bool)
	// Decode decodes a stored configuration.
	Decode(value []byte) (*Config, error)
}
