/** Records events about bundles and the trusted keys in the audit trail. */

import type {Bundle, SignedManifest, TrustPolicy} from '@bilberryscale/bundle';
import type {AuditEvent, AuditSink} from '@bilberryscale/core';
import type {BundleRank} from './bundle-rank.js';
import type {BundleRefusal} from './bundle-refusal.js';

/** How many events are remembered to suppress repeats. */
const maxRecordedEvents = 256;

/** Audits bundles; repeats of an offer, a refusal or a conflict are recorded once. */
export class BundleAudit {
	readonly #sink: AuditSink;
	readonly #recordedEvents = new Set<string>();

	/**
	 * @param sink - Receives the events.
	 */
	constructor(sink: AuditSink) {
		this.#sink = sink;
	}

	/** Records that a bundle was offered. */
	recordSeen({version, digest}: BundleRank, signed: SignedManifest): void {
		const signers = signed.signatures.map(({signer}) => signer).join(', ');
		this.#recordOnce(digest, {
			kind: 'bundle-seen',
			subject: `version ${version}`,
			cause: `offered with signatures of: ${signers || 'nobody'}`,
			current: digest,
		});
	}

	/** Records that a bundle was refused. */
	recordRefused(subject: string, {kind, cause}: BundleRefusal): void {
		this.#recordOnce(`${subject} ${kind} ${cause}`, {
			kind: 'bundle-refused',
			subject,
			cause: `${kind}: ${cause}`,
		});
	}

	/** Records that two different contents were signed under one version. */
	recordConflict(winner: BundleRank, loser: BundleRank): void {
		this.#recordOnce(`${winner.digest} ${loser.digest}`, {
			kind: 'bundle-conflict',
			subject: `version ${winner.version}`,
			cause:
				'two contents are signed under one version; the lower digest is in force; roll a higher version',
			former: loser.digest,
			current: winner.digest,
		});
	}

	/** Records that a bundle became active, and each data centre whose state it changes. */
	recordAdopted(previous: Bundle | undefined, current: Bundle): void {
		this.#sink({
			kind: 'bundle-adopted',
			subject: `version ${current.version}`,
			cause: 'signed by enough keys and newer',
			...(previous !== undefined && {former: `version ${previous.version}`}),
		});
		for (const {id, state} of current.dataCentres) {
			const before = previous?.dataCentres.find(
				(item) => item.id === id,
			)?.state;
			if (before !== undefined && before !== state) {
				this.#sink({
					kind: state === 'out' ? 'data-centre-out' : 'data-centre-in',
					subject: id,
					cause: `bundle version ${current.version}`,
					former: before,
					current: state,
				});
			}
		}
	}

	/** Records the trusted keys if they or the threshold changed. */
	recordTrust(previous: TrustPolicy | undefined, current: TrustPolicy): void {
		const before = formatTrustedKeys(previous);
		const after = formatTrustedKeys(current);
		if (before === after && previous?.threshold === current.threshold) {
			return;
		}

		this.#sink({
			kind: 'key-loaded',
			subject: 'trusted keys',
			cause: `${current.threshold} of them must sign`,
			...(previous !== undefined && {former: before}),
			current: after,
		});
	}

	#recordOnce(key: string, event: AuditEvent): void {
		if (this.#recordedEvents.has(key)) {
			return;
		}

		this.#recordedEvents.add(key);
		const [oldest] = this.#recordedEvents;
		if (this.#recordedEvents.size > maxRecordedEvents && oldest !== undefined) {
			this.#recordedEvents.delete(oldest);
		}

		this.#sink(event);
	}
}

function formatTrustedKeys(policy: TrustPolicy | undefined): string {
	return (policy?.keys ?? [])
		.map(({signer, publicKey}) => {
			const key = publicKey.export({format: 'der', type: 'spki'});
			return `${signer} ${key.subarray(-4).toString('hex')}`;
		})
		.join(', ');
}
