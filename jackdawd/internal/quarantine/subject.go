package quarantine

// A Kind is what the requests of a Subject have in common.
type Kind string

// The kinds of subjects.
const (
	// WholeRequest is the kind of copies of one request. Records of older builds state no kind and are
	// of this one.
	WholeRequest Kind = "request"
	// WorkspacePart is the kind of requests of one workspace with a part of the prompt in common.
	WorkspacePart Kind = "workspace-part"
	// AnyPart is the kind of requests of any workspace with a part of the prompt in common.
	AnyPart Kind = "part"
)

// isPart reports whether requests of the kind have only a part of their prompts in common.
func (k Kind) isPart() bool { return k == WorkspacePart || k == AnyPart }

// breadth orders kinds by how many requests they concern.
func (k Kind) breadth() int {
	switch k {
	case AnyPart:
		return 2
	case WorkspacePart:
		return 1
	default:
		return 0
	}
}

// A Subject is what requests have in common that may be why upstreams crash while they run them.
type Subject struct {
	// Fingerprint identifies the subject.
	Fingerprint Fingerprint
	Kind        Kind
	// Part is the ID of the prompt's part, and Workspace that of a WorkspacePart's requests.
	Part      string
	Workspace string
	// Depth is the number of parts before it in the prompt.
	Depth int
}

// RequestSubject returns the subject of the copies of a request.
func RequestSubject(c Content) Subject {
	return Subject{Fingerprint: c.Fingerprint(), Kind: WholeRequest}
}

// PartSubjects returns the subjects of the parts that a workspace's prompt shares with others. Each part
// has two: a workspace that names another's part must not have it refused for all.
func PartSubjects(workspace string, parts []string) []Subject {
	subjects := make([]Subject, 0, 2*len(parts))
	for depth, part := range parts {
		subjects = append(subjects,
			Subject{Fingerprint: hash(string(WorkspacePart), workspace, part), Kind: WorkspacePart, Part: part, Workspace: workspace, Depth: depth},
			Subject{Fingerprint: hash(string(AnyPart), part), Kind: AnyPart, Part: part, Depth: depth})
	}
	return subjects
}
