/** What the audit trail says of bundles and of the keys that sign them. */

import type {Bundle, SignedManifest, TrustPolicy} from '@bilberryscale/bundle';
import type {AuditEvent, AuditSink} from '@bilberryscale/core';
import type {BundleRank} from './bundle-rank.js';
import type {BundleRefusal} from './bundle-refusal.js';

const rememberedOffers = 256;

/** Audits bundles; an offer that comes again is told once. */
export class BundleAudit {
	readonly #sink: AuditSink;
	readonly #told = new Set<string>();

	/**
	 * @param sink - Takes the events.
	 */
	constructor(sink: AuditSink) {
		this.#sink = sink;
	}

	/** Audits that a bundle was offered. */
	addSeen({version, digest}: BundleRank, signed: SignedManifest): void {
		const signers = signed.signatures.map(({signer}) => signer).join(', ');
		this.#addOnce(digest, {
			kind: 'bundle-seen',
			subject: `version ${version}`,
			cause: `offered with signatures of: ${signers || 'nobody'}`,
			current: digest,
		});
	}

	/** Audits that a bundle was refused. */
	addRefused(subject: string, {kind, cause}: BundleRefusal): void {
		this.#addOnce(`${subject} ${kind} ${cause}`, {
			kind: 'bundle-refused',
			subject,
			cause: `${kind}: ${cause}`,
		});
	}

	/** Audits two contents that were signed under one version. */
	addConflict(winner: BundleRank, loser: BundleRank): void {
		this.#addOnce(`${winner.digest} ${loser.digest}`, {
			kind: 'bundle-conflict',
			subject: `version ${winner.version}`,
			cause:
				'two contents are signed under one version; the lower digest is in force; roll a higher version',
			former: loser.digest,
			current: winner.digest,
		});
	}

	/** Audits a bundle that came into force and the data centres it changes. */
	addAdopted(former: Bundle | undefined, current: Bundle): void {
		this.#sink({
			kind: 'bundle-adopted',
			subject: `version ${current.version}`,
			cause: 'signed by enough keys and newer',
			...(former !== undefined && {former: `version ${former.version}`}),
		});
		for (const {id, state} of current.dataCentres) {
			const before = former?.dataCentres.find((item) => item.id === id)?.state;
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

	/** Audits the keys that are trusted from now on. */
	addTrust(former: TrustPolicy | undefined, current: TrustPolicy): void {
		const before = getSigners(former);
		const after = getSigners(current);
		if (before === after && former?.threshold === current.threshold) {
			return;
		}

		this.#sink({
			kind: 'key-loaded',
			subject: 'trusted keys',
			cause: `${current.threshold} of them must sign`,
			...(former !== undefined && {former: before}),
			current: after,
		});
	}

	#addOnce(key: string, event: AuditEvent): void {
		if (this.#told.has(key)) {
			return;
		}

		this.#told.add(key);
		const [oldest] = this.#told;
		if (this.#told.size > rememberedOffers && oldest !== undefined) {
			this.#told.delete(oldest);
		}

		this.#sink(event);
	}
}

function getSigners(policy: TrustPolicy | undefined): string {
	return (policy?.keys ?? [])
		.map(({signer, publicKey}) => {
			const key = publicKey.export({format: 'der', type: 'spki'});
			return `${signer} ${key.subarray(-4).toString('hex')}`;
		})
		.join(', ');
}
