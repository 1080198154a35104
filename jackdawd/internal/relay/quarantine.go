package relay

import "jackdawhinge/jackdawd/internal/quarantine"

// identify sets the fingerprint of the request. Each copy that a caller sends bears another identifier;
// without the fingerprint nobody could tell that upstreams broke off under copies of one request.
func (j *job) identify() {
	if j.fingerprint != 0 {
		return
	}
	j.fingerprint = quarantine.Content{
		Workspace: j.workspace.Name, Method: j.r.Method, Host: j.r.Host, Target: target(j.r), Body: j.body,
	}.Fingerprint()
}
