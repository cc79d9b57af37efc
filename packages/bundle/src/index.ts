/** The bundle: its model, its published form and its signatures. */

export type {
	Bundle,
	CallerClassShare,
	DataCentre,
	Distance,
	Idempotency,
	ProbeBudget,
	RetryPolicy,
	Service,
	ServiceLimits,
	Target,
} from './model/bundle.js';
export {diffBundles} from './model/diff-bundles.js';
export {
	findWarnings,
	warningKinds,
	type Warning,
	type WarningContext,
	type WarningKind,
} from './model/find-warnings.js';
export {parseBundle} from './model/parse-bundle.js';
export type {
	Manifest,
	ManifestSignature,
	Part,
	PartReference,
	PublishedBundle,
	SignedManifest,
} from './published/published-bundle.js';
export {splitBundle, type SplitBundle} from './published/split-bundle.js';
export {
	joinBundle,
	joinServices,
	type PartLookup,
} from './published/join-bundle.js';
export {getManifestDigest, getManifestText} from './published/manifest-text.js';
export {parsePart} from './published/parse-part.js';
export {checkSize} from './published/check-size.js';
export {
	maxParts,
	maxSignatures,
	maxValueBytes,
} from './published/size-limits.js';
export {parseSignedManifest} from './published/parse-signed-manifest.js';
export {
	generateKeyPair,
	parsePrivateKey,
	parsePublicKey,
	type PemKeyPair,
	type TrustedKey,
	type TrustPolicy,
} from './signing/signer-key.js';
export {signManifest} from './signing/sign-manifest.js';
export {
	verifySignature,
	makeCachedVerifier,
	type SignatureVerifier,
	type SignedContent,
} from './signing/signature-verifier.js';
export {getValidSignatures, verifyManifest} from './signing/verify-manifest.js';
export {parseTrustPolicy, trustSchema} from './signing/trust-schema.js';
export {getCanonicalJson, getDigest} from './utils/canonical-json.js';
export {describeIssues} from './utils/describe-issues.js';
export {parseJson} from './utils/parse-json.js';
export {parseToml} from './utils/parse-toml.js';
