/** `status`: the fleet at a glance, and where its hosts disagree. */

import {z} from 'zod';
import {
	queryHosts,
	hostOptions,
	readHostSelectionOrThrow,
	type HostResponse,
} from '../hosts/query-hosts.js';
import {exitCodes} from '../output/exit-codes.js';
import {formatTable} from '../output/format-table.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

const statusSchema = z.looseObject({
	host: z.string(),
	incarnation: z.string(),
	dataCentre: z.string(),
	isReady: z.boolean(),
	bundleVersion: z.number().optional(),
	bundleDigest: z.string().optional(),
	dataCentresOut: z.array(z.string()).optional(),
	ejectedTargets: z.array(z.string()).optional(),
	members: z.array(z.string()).optional(),
	view: z.string().optional(),
});

type Status = z.infer<typeof statusSchema>;

const shortDigestLength = 8;

/** What all hosts should hold alike. */
const comparedFields = [
	'bundleVersion',
	'bundleDigest',
	'dataCentresOut',
	'ejectedTargets',
	'members',
	'view',
] as const;

/** The command. */
export const status: Command = {
	usage: 'status',
	summary: 'Show many hosts at a glance and where they disagree',
	options: [...hostOptions, jsonOption],
	examples: ['status --hosts-file hosts.txt --token-file token.txt'],
	async run(_values, flags, surroundings) {
		const selection = readHostSelectionOrThrow(flags, surroundings);
		const {responses: answers, faults} = await queryHosts(
			selection,
			() => '/status',
			statusSchema,
			surroundings,
		);
		const disagreements = findDisagreements(answers);
		const notReadyResponses = answers.filter(({value}) => !value.isReady);
		printReport(surroundings.output, flags.isSet('json'), {
			document: {
				hosts: answers.map(({host, value}) => ({address: host, ...value})),
				disagreements,
				faults,
			},
			lines: [
				...formatTable([
					['host', 'data centre', 'ready', 'version', 'digest', 'incarnation'],
					...answers.map((answer) => formatRow(answer)),
				]),
				...disagreements,
			],
			faults,
		});
		if (faults.length > 0) {
			return exitCodes.incomplete;
		}

		return disagreements.length > 0 || notReadyResponses.length > 0
			? exitCodes.checkFailed
			: exitCodes.success;
	},
};

function formatRow({value}: HostResponse<Status>): readonly string[] {
	return [
		value.host,
		value.dataCentre,
		value.isReady ? 'yes' : 'no',
		value.bundleVersion?.toString() ?? '-',
		value.bundleDigest?.slice(0, shortDigestLength) ?? '-',
		value.incarnation,
	];
}

function findDisagreements(
	answers: ReadonlyArray<HostResponse<Status>>,
): readonly string[] {
	return comparedFields.flatMap((field) => {
		const groups = new Map<string, string[]>();
		for (const {value} of answers) {
			const text = JSON.stringify(value[field]) ?? 'nothing';
			groups.set(text, [...(groups.get(text) ?? []), value.host]);
		}

		const descriptions = [...groups].map(
			([text, hosts]) => `${text} on ${hosts.join(', ')}`,
		);
		return groups.size > 1
			? [`hosts disagree on ${field}: ${descriptions.join('; ')}`]
			: [];
	});
}
