import * as wire from "@geraniumkeel/wire";
import * as zod from "zod";

/** Which of the two generation interfaces a request uses. */
export enum GenerationInterface {
  Chat = "chat",
  Completion = "completion",
}

const unsupported = (name: string) =>
  zod
    .unknown()
    .optional()
    .refine((value) => value === undefined || value === null, {
      error: `leave ${name} out: it is not supported`,
    });
const one = (name: string) =>
  zod
    .literal(1, { error: `use ${name} 1: one answer a request is supported` })
    .nullish();
const tokenCount = zod
  .number({ error: "give a number of tokens" })
  .int({ error: "give a whole number of tokens" })
  .min(1, { error: "ask for at least 1 token" })
  .nullish();

const shared = {
  model: zod.string({ error: "name the model (the service)" }),
  stream: zod.boolean({ error: "use true or false" }).nullish(),
  stream_options: zod
    .looseObject({ include_usage: zod.boolean().nullish() })
    .nullish(),
  max_tokens: tokenCount,
  n: one("n"),
  best_of: one("best_of"),
  logprobs: zod
    .literal([false, 0], { error: "leave logprobs out: not supported" })
    .nullish(),
};

const TEXT_PART = zod.looseObject({
  type: zod.literal("text", { error: "use parts of type text" }),
  text: zod.string({ error: "give the part's text" }),
});

const MESSAGE = zod.looseObject({
  role: zod.string({ error: "give the message's role" }),
  content: zod.union([zod.string(), zod.array(TEXT_PART)], {
    error: "give content as a text or a list of text parts",
  }),
});

/** Body of `POST /v1/chat/completions`. */
export const CHAT_BODY = zod.looseObject({
  ...shared,
  messages: zod
    .array(MESSAGE, { error: "give a list of messages" })
    .min(1, { error: "give at least one message" }),
  max_completion_tokens: tokenCount,
  tools: unsupported("tools"),
  functions: unsupported("functions"),
});

/** Body of `POST /v1/completions`. */
export const COMPLETION_BODY = zod.looseObject({
  ...shared,
  prompt: zod.string({ error: "give the prompt as one text" }),
  echo: unsupported("echo"),
  suffix: unsupported("suffix"),
});

/** A generation as asked for. */
export interface GenerationRequest {
  interface: GenerationInterface;
  model: string;
  prompt: string;
  stream: boolean;
  includeUsage: boolean;
  maximumTokens: number | undefined;
  options: Record<string, unknown>;
}

/** Options that only the engine understands. */
const ENGINE_OPTIONS = [
  "temperature",
  "top_p",
  "stop",
  "seed",
  "presence_penalty",
  "frequency_penalty",
  "response_format",
];

/** Reads a chat body. */
export function readChat(body: zod.infer<typeof CHAT_BODY>): GenerationRequest {
  const prompt = body.messages
    .map(({ role, content }) => `<|${role}|>${textOf(content)}\n`)
    .join("");
  const maximumTokens = body.max_completion_tokens ?? body.max_tokens;
  return {
    interface: GenerationInterface.Chat,
    ...readShared(body),
    prompt: `${prompt}<|assistant|>`,
    maximumTokens: maximumTokens ?? undefined,
  };
}

/** Reads a completion body. */
export function readCompletion(
  body: zod.infer<typeof COMPLETION_BODY>,
): GenerationRequest {
  return {
    interface: GenerationInterface.Completion,
    ...readShared(body),
    prompt: body.prompt,
    maximumTokens: body.max_tokens ?? undefined,
  };
}

function readShared(
  body: zod.infer<typeof CHAT_BODY> | zod.infer<typeof COMPLETION_BODY>,
): Pick<GenerationRequest, "model" | "stream" | "includeUsage" | "options"> {
  const options: Record<string, unknown> = {};
  for (const name of ENGINE_OPTIONS) {
    if (body[name] !== undefined) options[name] = body[name];
  }
  return {
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    options,
  };
}

function textOf(content: string | { text: string }[]): string {
  if (typeof content === "string") return content;
  return content.map((part) => part.text).join("");
}

/** Renders answers in the shape that OpenAI clients read. */
export class AnswerFormat {
  readonly #created = Math.floor(Date.now() / 1_000);
  readonly #identifier: string;

  constructor(
    identifier: string,
    readonly generation: GenerationRequest,
  ) {
    const prefix = this.#chat ? "chatcmpl" : "cmpl";
    this.#identifier = `${prefix}-${identifier}`;
  }

  /** First event of a stream, if the interface has one. */
  opening(): string {
    if (!this.#chat) return "";
    return this.#event([
      this.#choice({ role: "assistant", content: "" }, null),
    ]);
  }

  /** Event with a piece of text. */
  piece(text: string): string {
    return this.#event([this.#choice({ content: text }, null)]);
  }

  /** Last events of a complete stream. */
  closing(parameters: {
    finishReason: wire.FinishReason;
    promptTokens: number;
    completionTokens: number;
  }): string {
    const last = this.#event([this.#choice({}, parameters.finishReason)]);
    const usage = this.generation.includeUsage
      ? this.#event([], usageOf(parameters))
      : "";
    return `${last}${usage}data: [DONE]\n\n`;
  }

  /** A whole answer. */
  whole(parameters: {
    text: string;
    finishReason: wire.FinishReason;
    promptTokens: number;
    completionTokens: number;
  }): string {
    const { text, finishReason } = parameters;
    const body = this.#chat
      ? { message: { role: "assistant", content: text, refusal: null } }
      : { text };
    const choice = {
      index: 0,
      ...body,
      logprobs: null,
      finish_reason: finishReason,
    };
    return JSON.stringify({
      ...this.#envelope(this.#chat ? "chat.completion" : "text_completion"),
      choices: [choice],
      usage: usageOf(parameters),
    });
  }

  get #chat(): boolean {
    return this.generation.interface === GenerationInterface.Chat;
  }

  #choice(
    delta: { role?: string; content?: string },
    finishReason: wire.FinishReason | null,
  ): object {
    const body = this.#chat ? { delta } : { text: delta.content ?? "" };
    return { index: 0, ...body, logprobs: null, finish_reason: finishReason };
  }

  #event(choices: object[], usage?: object): string {
    const object = this.#chat ? "chat.completion.chunk" : "text_completion";
    const body = { ...this.#envelope(object), choices, usage };
    return `data: ${JSON.stringify(body)}\n\n`;
  }

  #envelope(object: string): object {
    return {
      id: this.#identifier,
      object,
      created: this.#created,
      model: this.generation.model,
    };
  }
}

function usageOf(parameters: {
  promptTokens: number;
  completionTokens: number;
}): object {
  const { promptTokens, completionTokens } = parameters;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
