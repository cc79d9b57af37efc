/**
 * Measures the published form: bytes, and processor time to adopt a change.
 *
 * Run: `node --conditions=source --import tsx packages/daemon/test/measurements/measure-bundle.ts [services] [targets]`.
 */

import {Buffer} from 'node:buffer';
import process from 'node:process';
import {
	generateKeyPair,
	getCanonicalText,
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

type Published = {
	readonly signed: SignedManifest;
	readonly parts: readonly Part[];
};

const [services = '310', targets = '4700'] = process.argv.slice(2);
const size: BundleSize = {
	services: Number(services),
	targets: Number(targets),
	dataCentres: 6,
};
const changes = 60;
const changesPerDay = 3000;
const secondsPerDay = 86_400;
const entryHosts = 16;

const operators = ['ana', 'bat'].map((signer) => ({
	signer: makeId<SignerName>(signer),
	...generateKeyPair(),
}));
const trust: TrustPolicy = {
	threshold: operators.length,
	keys: operators.map(({signer, publicKey}) => ({
		signer,
		publicKey: parsePublicKey(publicKey).unwrap(),
	})),
};

const published = Array.from({length: changes}, (_, index) =>
	publish(index + 1),
);
reportBytes();
await reportTimes();

function publish(version: number): Published {
	const split = splitBundle(makeLargeBundle(size, version));
	let signed: SignedManifest = {manifest: split.manifest, signatures: []};
	for (const {signer, privateKey} of operators) {
		const key = parsePrivateKey(privateKey).unwrap();
		signed = signManifest(signed, signer, key);
	}

	return {signed, parts: split.parts};
}

function reportBytes(): void {
	const {signed, parts} = published[0]!;
	const manifest = getAnswerBytes(JSON.stringify(signed));
	const sizes = parts.map(({text}) => getAnswerBytes(text));
	const total = sizes.reduce((sum, bytes) => sum + bytes, 0);
	const largest = Math.max(...sizes);
	const mean = total / sizes.length;
	print('manifest value', Buffer.byteLength(JSON.stringify(signed)), 'B');
	print('manifest on the wire', manifest, 'B');
	print('parts, all, on the wire', total, 'B');
	print('part, mean, on the wire', mean, 'B');
	print('part, largest, on the wire', largest, 'B');
	const delta = getDeltaBytes(signed);
	const groups = Math.ceil(Math.sqrt(size.services));
	const twoLevel =
		getAnswerBytes(getCanonicalText(signed.manifest.parts.slice(0, groups))) *
		2;
	reportChange('one manifest', manifest + mean);
	reportChange('two levels', twoLevel + mean);
	reportChange('delta of the manifest', delta + mean);
	reportChange('whole bundle', total);
}

function reportChange(form: string, bytes: number): void {
	const perSecond = (bytes * changesPerDay) / secondsPerDay;
	print(`${form}: a change of one service`, bytes, 'B');
	print(`${form}: ${changesPerDay} changes a day`, perSecond, 'B/s a node');
}

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

/** Gets the bytes of an answer by the platform, which wraps the value in JSON. */
function getAnswerBytes(value: string): number {
	return Buffer.byteLength(JSON.stringify({revision: 123_456, value}));
}

async function reportTimes(): Promise<void> {
	const store = new BundleStore({
		trust,
		audit() {
			// Bytes and time alone are measured.
		},
		onAdopted() {
			// Bytes and time alone are measured.
		},
	});
	const first = await measureAdoption(store, published[0]!);
	const later: number[] = [];
	const whole: number[] = [];
	for (const item of published.slice(1)) {
		later.push(await measureAdoption(store, item));
		whole.push(measureWhole(item));
	}

	print('adopt the first bundle', first, 'ms');
	print('adopt a change, median', getMedian(later), 'ms');
	print('adopt a change, largest', Math.max(...later), 'ms');
	print('read all parts anew, median', getMedian(whole), 'ms');
	const share = (getMedian(later) * changesPerDay) / secondsPerDay / 10;
	print(`${changesPerDay} changes a day`, share, '% of a core');
	print(
		`a start of ${entryHosts} hosts`,
		entryHosts * (size.services + 1),
		'calls',
	);
}

async function measureAdoption(
	store: BundleStore,
	{signed, parts}: Published,
): Promise<number> {
	const text = JSON.stringify(signed);
	const texts = getTexts(parts);
	const startedAt = performance.now();
	const adopted = await store.adoptText(text, 'm', async (digest) =>
		texts.get(digest),
	);
	adopted.unwrap();
	return performance.now() - startedAt;
}

function measureWhole({signed, parts}: Published): number {
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
