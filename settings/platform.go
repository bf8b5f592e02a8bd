package settings

import "github.com/poplarwinch/poplarwinch/clock"

// EnvSecretAccessKey is the name of the environment variable with the platform's secret access key.
const EnvSecretAccessKey = "POPLARWINCH_SECRET_ACCESS_KEY"

// Platform locates the table, the object store and the instance list.
type Platform struct {
	TableEndpoint   string
	TableName       string
	ObjectsEndpoint string
	Bucket          string
	// Region is the region for the signatures of platform requests.
	Region          string
	AccessKeyID     string
	SecretAccessKey Secret
	// InstanceList is the URL of the instance list.
	InstanceList string
	// Timeout bounds each request to the platform.
	Timeout clock.Millis
}

func (p *Platform) read(r *reader) {
	const section = "platform"
	p.TableEndpoint = r.url(section, "table-endpoint", false)
	p.TableName = r.name(section, "table-name", "write the name of the table")
	p.ObjectsEndpoint = r.url(section, "objects-endpoint", false)
	p.Bucket = r.name(section, "bucket", "write the name of the bucket")
	p.Region = r.name(section, "region", "write the region for the signatures of platform requests")
	p.AccessKeyID = r.required(section, "access-key-id", "write the id of the access key")
	p.SecretAccessKey = r.secret(section, "secret-access-key-file", EnvSecretAccessKey, 1)
	p.InstanceList = r.url(section, "instance-list", true)
	p.Timeout = clock.Millis(r.number(section, "timeout-ms", 2000, 50, 60_000))
}
