/** `config check`: reports findings in a configuration of the platform, and what it changes. */

import {decodePlanText} from '@bilberryscale/fleet-platform';
import {checkPlan, diffPlans} from '@bilberryscale/gateway';
import {
	fetchPublishedPlanOrThrow,
	readPublishedPlanOrThrow,
	type PublishedPlan,
} from '../files/published-plan.js';
import {readTextFileOrThrow} from '../files/read-text-file.js';
import {
	formatConfigReport,
	makeDecodeFinding,
	toReportedDifference,
	toReportedFinding,
	toVersionText,
	type ConfigReport,
} from '../output/config-report.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command, type CommandContext} from './command.js';
import type {Flags} from './flags.js';

/** The ratio of the retry budget that hosts have in all deployments so far. */
const defaultRetryRatio = 0.2;

/** The `config check` command. */
export const configCheck: Command = {
	usage: 'config check <file>',
	summary: 'Check a configuration, and show what it changes',
	options: [
		{
			usage: '--against <file>',
			summary: 'The configuration in force, from a file',
		},
		{
			usage: '--host <address:port>',
			summary:
				'A host to read the configuration in force from, by its port for other hosts',
		},
		{
			usage: '--retry-ratio <share>',
			summary: `The retries that hosts allow for each request (default: ${defaultRetryRatio})`,
		},
		jsonOption,
	],
	examples: [
		'config check next.json --against current.json',
		'config check next.json --host 10.1.0.15:8649 --json',
	],
	async run([file = ''], flags, context) {
		const retryRatio =
			flags.getNumber(
				'retryRatio',
				(value) => value >= 0 && value <= 1,
				'a number from 0 to 1',
			) ?? defaultRetryRatio;
		const text = readTextFileOrThrow(file);
		const published = await readFormerPlanOrThrow(flags, context);
		const report = makeReport(file, text, published, retryRatio);
		printReport(context.output, flags.isSet('json'), {
			document: report,
			lines: formatConfigReport(report),
		});
		return report.findings.length > 0
			? exitCodes.checkFailed
			: exitCodes.success;
	},
};

async function readFormerPlanOrThrow(
	flags: Flags,
	context: CommandContext,
): Promise<PublishedPlan | undefined> {
	const file = flags.getString('against');
	const host = flags.getString('host');
	if (file !== undefined && host !== undefined) {
		throw new UsageError('--against and --host: only one of them is allowed');
	}

	if (file !== undefined) {
		return readPublishedPlanOrThrow(file);
	}

	return host === undefined
		? undefined
		: fetchPublishedPlanOrThrow(host, context);
}

function makeReport(
	file: string,
	text: string,
	published: PublishedPlan | undefined,
	retryRatio: number,
): ConfigReport {
	const decoded = decodePlanText(text);
	const against =
		published === undefined
			? null
			: {
					source: published.source,
					version: toVersionText(published.plan),
				};
	if (decoded.isErr()) {
		const findings = [makeDecodeFinding(decoded.error)];
		return {file, version: null, against, findings, differences: []};
	}

	const plan = decoded.value;
	const findings = checkPlan(plan, {
		retryRatio,
		...(published !== undefined && {formerPlan: published.plan}),
		...(published?.targets !== undefined && {targets: published.targets}),
	});
	const differences =
		published === undefined ? [] : diffPlans(published.plan, plan);
	return {
		file,
		version: toVersionText(plan),
		against,
		findings: findings.map((finding) => toReportedFinding(finding)),
		differences: differences.map((item) => toReportedDifference(item)),
	};
}
