/**
 * Measures the published form of bundles: its size, and the time to adopt a change.
 *
 * Run: `node --conditions=source --import tsx packages/daemon/test/measurements/measure-bundle.ts [services] [targets]`.
 */

import {Buffer} from 'node:buffer';
import process from 'node:process';
import {
	generateKeyPair,
	getCanonicalJson,
	joinBundle,
	parsePrivateKey,
	parsePublicKey,
	parseSignedManifest,
	signManifest,
	splitBundle,
	verifyManifest,
	type Part,
	type SignedManifest,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {makeId, type Digest, type SignerName} from '@bilberryscale/core';
import {BundleStore} from '../../src/bundle-store/bundle-store.js';
import {makeLargeBundle, type BundleSize} from './large-bundle.js';

type PublishedBundle = {
	readonly signed: SignedManifest;
	readonly parts: readonly Part[];
};

const [services = '310', targets = '4700'] = process.argv.slice(2);
const size: BundleSize = {
	services: Number(services),
	targets: Number(targets),
	dataCentres: 6,
};
const changeCount = 60;
const changesPerDay = 3000;
const secondsPerDay = 86_400;
const hostCount = 16;

const signers = ['ana', 'bat'].map((signer) => ({
	signer: makeId<SignerName>(signer),
	...generateKeyPair(),
}));
const trust: TrustPolicy = {
	threshold: signers.length,
	keys: signers.map(({signer, publicKey}) => ({
		signer,
		publicKey: parsePublicKey(publicKey).unwrap(),
	})),
};

const published = Array.from({length: changeCount}, (_, index) =>
	publish(index + 1),
);
reportBytes();
await reportTimes();

function publish(version: number): PublishedBundle {
	const split = splitBundle(makeLargeBundle(size, version));
	let signed: SignedManifest = {manifest: split.manifest, signatures: []};
	for (const {signer, privateKey} of signers) {
		const key = parsePrivateKey(privateKey).unwrap();
		signed = signManifest(signed, signer, key);
	}

	return {signed, parts: split.parts};
}

function reportBytes(): void {
	const {signed, parts} = published[0]!;
	const manifestBytes = getAnswerBytes(JSON.stringify(signed));
	const partBytes = parts.map(({text}) => getAnswerBytes(text));
	const totalBytes = partBytes.reduce((sum, bytes) => sum + bytes, 0);
	const maxPartBytes = Math.max(...partBytes);
	const meanPartBytes = totalBytes / partBytes.length;
	print('manifest value', Buffer.byteLength(JSON.stringify(signed)), 'B');
	print('manifest on the wire', manifestBytes, 'B');
	print('parts, all, on the wire', totalBytes, 'B');
	print('part, mean, on the wire', meanPartBytes, 'B');
	print('part, largest, on the wire', maxPartBytes, 'B');
	const deltaBytes = getDeltaBytes(signed);
	// A manifest in two levels: an index of groups and the group that changed, of about equal length.
	const groupCount = Math.ceil(Math.sqrt(size.services));
	const twoLevelBytes =
		getAnswerBytes(
			getCanonicalJson(signed.manifest.parts.slice(0, groupCount)),
		) * 2;
	reportChange('one manifest', manifestBytes + meanPartBytes);
	reportChange('two levels', twoLevelBytes + meanPartBytes);
	reportChange('delta of the manifest', deltaBytes + meanPartBytes);
	reportChange('whole bundle', totalBytes);
}

function reportChange(form: string, bytes: number): void {
	const perSecond = (bytes * changesPerDay) / secondsPerDay;
	print(`${form}: a change of one service`, bytes, 'B');
	print(`${form}: ${changesPerDay} changes a day`, perSecond, 'B/s a node');
}

/** Gets the size of a delta that lists two parts and all signatures. */
function getDeltaBytes({manifest, signatures}: SignedManifest): number {
	return getAnswerBytes(
		JSON.stringify({
			from: manifest.version,
			version: manifest.version,
			parts: manifest.parts.slice(0, 2),
			signatures,
		}),
	);
}

/** Gets the size of the platform's response, which wraps the value in JSON. */
function getAnswerBytes(value: string): number {
	return Buffer.byteLength(JSON.stringify({revision: 123_456, value}));
}

async function reportTimes(): Promise<void> {
	const store = new BundleStore({
		trust,
		audit() {
			// Not needed for the measurement.
		},
		onAdopted() {
			// Not needed for the measurement.
		},
	});
	const firstAdoptionMs = await measureAdoption(store, published[0]!);
	const adoptionMs: number[] = [];
	const fullReadMs: number[] = [];
	for (const item of published.slice(1)) {
		adoptionMs.push(await measureAdoption(store, item));
		fullReadMs.push(measureFullRead(item));
	}

	print('adopt the first bundle', firstAdoptionMs, 'ms');
	print('adopt a change, median', getMedian(adoptionMs), 'ms');
	print('adopt a change, largest', Math.max(...adoptionMs), 'ms');
	print('read all parts again, median', getMedian(fullReadMs), 'ms');
	const corePercent =
		(getMedian(adoptionMs) * changesPerDay) / secondsPerDay / 10;
	print(`${changesPerDay} changes a day`, corePercent, '% of a core');
	print(
		`a start of ${hostCount} hosts`,
		hostCount * (size.services + 1),
		'calls',
	);
}

async function measureAdoption(
	store: BundleStore,
	{signed, parts}: PublishedBundle,
): Promise<number> {
	const text = JSON.stringify(signed);
	const texts = getTexts(parts);
	const startedAt = performance.now();
	const result = await store.adoptText(text, 'm', async (digest) =>
		texts.get(digest),
	);
	result.unwrap();
	return performance.now() - startedAt;
}

function measureFullRead({signed, parts}: PublishedBundle): number {
	const text = JSON.stringify(signed);
	const texts = getTexts(parts);
	const startedAt = performance.now();
	const {manifest, signatures} = parseSignedManifest(text, 'm').unwrap();
	verifyManifest({manifest, signatures}, trust).unwrap();
	joinBundle(manifest, (digest) => texts.get(digest)).unwrap();
	return performance.now() - startedAt;
}

function getTexts(parts: readonly Part[]): Map<Digest, string> {
	return new Map(parts.map(({digest, text}) => [digest, text] as const));
}

function getMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function print(name: string, value: number, unit: string): void {
	process.stdout.write(
		`${name}: ${value.toFixed(value < 100 ? 2 : 0)} ${unit}\n`,
	);
}
