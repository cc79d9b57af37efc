/** Ensures that a non-idempotent request runs at most once per idempotency key. */

export {FleetClock} from './fleet/fleet-clock.js';
export {
	IdempotencyGuard,
	type KeyDecision,
	type IdempotencyGuardOptions,
	type KeyRequest,
} from './idempotency/idempotency-guard.js';
export {KeyGenerator} from './key/key-generator.js';
export {
	getKeyTimestampMs,
	isUuidV7Key,
	normaliseKey,
} from './key/uuid-v7-key.js';
export type {
	StoredAnswer,
	KeyRecord,
	RunOutcome,
} from './records/key-record.js';
export {
	KeyRecordStore,
	defaultRecordLimits,
	type RecordLimits,
} from './records/key-record-store.js';
export {allBuckets, getBucket, type Bucket} from './lease/bucket.js';
export {BucketSet} from './lease/bucket-set.js';
export {
	LeaseGrantor,
	type Claim,
	type LeaseGrantorOptions,
} from './lease/lease-grantor.js';
export {selectKeyOwner} from './lease/key-owner.js';
export {getQuorum} from './lease/quorum.js';
export {LeaseHolder, type Grants, type Lease} from './lease/lease-holder.js';
export {defaultLeasePolicy, type LeasePolicy} from './lease/lease-policy.js';
